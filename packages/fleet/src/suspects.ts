/**
 * Servers that could not be reached lately, or that break off what they are sent before they answer: they get work only while
 * there is no other. An engine that resets every request has the most free memory of all, and draws whatever is placed.
 */
import type { Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";

/**
 * How long a server that could not be reached is passed over. Its entry goes after three heartbeats of
 * silence, 3.6 s on the users' sites; until then one request in this time finds out whether it is back.
 */
const SUSPECT_MS = 1_000;

/**
 * How long a server is passed over that broke a request off: one may be chance, and each further one without an answer in between
 * doubles it, so that one that does so for 7 s got 5 of 269 placements of a replay, and 192 without.
 */
const FIRST_BREAK_MS = 500;
const MAX_BREAK_MS = 8_000;

/** With more of the servers than this breaking requests off, it is the box's own connections that break. */
const MAX_BROKEN_SHARE = 0.5;

/** The servers under suspicion. */
export type Suspects = Readonly<{
  add: (id: ServerId, now: Ms) => void;
  /** The server broke a request off before it answered. */
  addBreak: (id: ServerId, now: Ms) => void;
  /** The server has answered. */
  removeBreaks: (id: ServerId) => void;
  /** Leaves out those under suspicion, unless that would leave none. */
  passOver: (servers: readonly BackendServer[], now: Ms) => readonly BackendServer[];
}>;

type Breaks = Readonly<{ count: number; until: number }>;

/** Creates an empty set. */
export const createSuspects = (): Suspects => {
  const until = new Map<ServerId, number>();
  const breaks = new Map<ServerId, Breaks>();

  const passOverBroken = (servers: readonly BackendServer[], now: Ms) => {
    const whole = servers.filter(
      ({ entry }) => (breaks.get(entry.id)?.until ?? -Infinity) <= now,
    );
    return whole.length >= servers.length * MAX_BROKEN_SHARE ? whole : servers;
  };
  const passOverLost = (servers: readonly BackendServer[]) => {
    if (until.size === 0) return servers;
    const trusted = servers.filter((server) => !until.has(server.entry.id));
    return trusted.length > 0 ? trusted : servers;
  };
  const dropOld = (now: Ms) => {
    for (const [id, end] of until) if (end <= now) until.delete(id);
    for (const [id, { until: end }] of breaks)
      if (end + MAX_BREAK_MS <= now) breaks.delete(id);
  };

  return {
    add: (id, now) => void until.set(id, now + SUSPECT_MS),
    addBreak: (id, now) => {
      const known = breaks.get(id);
      // Requests that were under way together break together: that is once.
      if (known && now < known.until) return;
      const count = (known?.count ?? 0) + 1;
      const pause = Math.min(MAX_BREAK_MS, FIRST_BREAK_MS * 2 ** (count - 1));
      breaks.set(id, { count, until: now + pause });
    },
    removeBreaks: (id) => void breaks.delete(id),
    passOver: (servers, now) => {
      dropOld(now);
      return passOverLost(passOverBroken(servers, now));
    },
  };
};
