/** Settings of a box before a stand-in site, as the users' platform would fill them in. */

/** What differs from box to box. */
export type StandinBox = Readonly<{
  name: string;
  storeAddress: string;
  /** First of the four ports that the box listens on. */
  firstPort: number;
}>;

const HOST = "127.0.0.1";

/** Formats the settings file of one box; bounds are those of the users' smaller sites. */
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
