/** Servers that could not be reached lately; they get work only while there is no other. */
import type { Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";

/**
 * How long a server that could not be reached is passed over. Its entry goes after three heartbeats of
 * silence, 3.6 s on the users' sites; until then one request in this time finds out whether it is back.
 */
const SUSPECT_MS = 1_000;

/** The servers under suspicion. */
export type Suspects = Readonly<{
  add: (id: ServerId, now: Ms) => void;
  /** Leaves out those under suspicion, unless that would leave none. */
  passOver: (servers: readonly BackendServer[], now: Ms) => readonly BackendServer[];
}>;

/** Creates an empty set. */
export const createSuspects = (): Suspects => {
  const until = new Map<ServerId, number>();
  return {
    add: (id, now) => void until.set(id, now + SUSPECT_MS),
    passOver: (servers, now) => {
      for (const [id, end] of until) if (end <= now) until.delete(id);
      if (until.size === 0) return servers;
      const trusted = servers.filter((server) => !until.has(server.entry.id));
      return trusted.length > 0 ? trusted : servers;
    },
  };
};
