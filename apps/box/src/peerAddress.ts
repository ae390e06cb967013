/** The address at which a box accepts calls of other boxes; its port is known once it listens. */
import { toHostAndPort } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";

/** The address. */
export type PeerAddress = Readonly<{
  get: () => ServerAddress;
  setPort: (port: number) => void;
  /** Whether an address is another box's. */
  isOther: (address: ServerAddress) => boolean;
}>;

/** Creates the address from the settings, in which port 0 lets the system choose one. */
export const createPeerAddress = (configured: string): PeerAddress => {
  let address: ServerAddress = toHostAndPort(configured);
  return {
    get: () => address,
    setPort: (port) => {
      address = { ...address, port };
    },
    isOther: ({ host, port }) => host !== address.host || port !== address.port,
  };
};
