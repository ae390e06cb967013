/** Wires what backend servers say of themselves to the parts that act on it. */
import type { BackendServer, ServerAddress } from "@stairgauge/directory";
import type { ColdSpells } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import {
  takeSigns,
  type HeardSign,
  type HeardSigns,
  type ServerSigns,
  type SignTakers,
} from "@stairgauge/signs";

/** Who takes the signs. */
export type SignsOptions = Readonly<{
  listServers: () => readonly BackendServer[];
  limits: Pick<ServerLimits, "takeSign">;
  spells: Pick<ColdSpells, "onEntry">;
  /** A server that stays has announced the end of a connection, which one that leaves does. */
  onClosingAnnounced: (server: BackendServer) => void;
}>;

/** Takes the signs of answers. */
export type Signs = Readonly<{
  take: (heard: HeardSigns) => void;
  /** An engine has answered a call that is no request; whoever leaves has no say any more. */
  takeFromEngine: (address: ServerAddress, signs: ServerSigns) => void;
}>;

/** Creates the takers' table. */
export const createSigns = (options: SignsOptions): Signs => {
  const { limits, spells, onClosingAnnounced } = options;

  const takeClosing = ({ server, sign: isClosing, source }: HeardSign<boolean>) => {
    // Health calls ask for the end of their connection themselves, and the answer to a report would have another one asked for.
    if (isClosing && source.kind === "request") onClosingAnnounced(server);
  };
  const takers: SignTakers = {
    isClosing: takeClosing,
    warmUpLeft: ({ server, sign }) => {
      if (sign !== undefined) spells.onEntry({ ...server.entry, warmUpLeft: sign });
    },
    limit: ({ server, sign, source }) => {
      const sentAgo = source.kind === "request" ? source.sentAgo : undefined;
      limits.takeSign(server.entry.id, sign, sentAgo);
    },
  };
  const take = (heard: HeardSigns) => takeSigns(takers, heard);
  const listStaying = ({ host, port }: ServerAddress) =>
    options
      .listServers()
      .filter(({ entry }) => entry.address.host === host && entry.address.port === port)
      .filter(({ leaving }) => leaving === undefined);
  return {
    take,
    takeFromEngine: (address, signs) => {
      for (const server of listStaying(address))
        take({ server, signs, source: { kind: "call" } });
    },
  };
};
