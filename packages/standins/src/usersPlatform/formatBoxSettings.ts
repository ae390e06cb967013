/** Settings file of a box that runs against a stand-in site. */

/** Values that differ between boxes. */
export type StandinBox = Readonly<{
  name: string;
  /** Address of the store, IP:PORT. */
  storeAddress: string;
  /** First of the four consecutive ports that the box listens on. */
  firstPort: number;
}>;

const HOST = "127.0.0.1";

/** Formats the settings file of one box, with the bounds of a small production site. */
export const formatBoxSettings = ({
  name,
  storeAddress,
  firstPort,
}: StandinBox): string => `box: ${name}
dataHall: hall-a
listen:
  clients: "${HOST}:${firstPort}"
  ready: "${HOST}:${firstPort + 1}"
  metrics: "${HOST}:${firstPort + 2}"
  peers: "${HOST}:${firstPort + 3}"
store:
  address: "${storeAddress}"
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;
