/**
 * Suspect servers: those that could recently not be reached, or that break requests off before they
 * answer. They get work only if there is no other server.
 *
 * An engine that resets every request has the most free memory of all, and would otherwise attract
 * all placements.
 */
import type { Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";

/**
 * How long a server that could not be reached is skipped. Its entry is removed after three missed
 * heartbeats, 3.6 s on the users' sites. Until then one request in this interval checks whether it
 * is back.
 */
const SUSPECT_MS = 1_000;

/**
 * How long a server is skipped after it broke a request off. One break may be chance, so each
 * further one without an answer in between doubles the time, up to the maximum. In a replay, a
 * server that broke all requests off for 7 s got 5 of 269 placements with this rule, and 192
 * without it.
 */
const FIRST_BREAK_MS = 500;
const MAX_BREAK_MS = 8_000;

/**
 * If more than this share of the servers break requests off, the cause is taken to be the box's own
 * connections.
 */
const MAX_BROKEN_SHARE = 0.5;

/** The suspect servers. */
export type Suspects = Readonly<{
  add: (id: ServerId, now: Ms) => void;
  /** Records that the server broke a request off before it answered. */
  addBreak: (id: ServerId, now: Ms) => void;
  /** Records that the server has answered. */
  removeBreaks: (id: ServerId) => void;
  /** Leaves out suspect servers, unless that would leave none. */
  filter: (servers: readonly BackendServer[], now: Ms) => readonly BackendServer[];
}>;

type Breaks = Readonly<{ count: number; until: number }>;

export const createSuspects = (): Suspects => {
  const until = new Map<ServerId, number>();
  const breaks = new Map<ServerId, Breaks>();

  const filterBroken = (servers: readonly BackendServer[], now: Ms) => {
    const unbroken = servers.filter(
      ({ entry }) => (breaks.get(entry.id)?.until ?? -Infinity) <= now,
    );
    return unbroken.length >= servers.length * MAX_BROKEN_SHARE ? unbroken : servers;
  };
  const filterUnreachable = (servers: readonly BackendServer[]) => {
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
      // Requests that run at the same time break together; that counts as one break.
      if (known && now < known.until) return;
      const count = (known?.count ?? 0) + 1;
      const skipTime = Math.min(MAX_BREAK_MS, FIRST_BREAK_MS * 2 ** (count - 1));
      breaks.set(id, { count, until: now + skipTime });
    },
    removeBreaks: (id) => void breaks.delete(id),
    filter: (servers, now) => {
      dropOld(now);
      return filterUnreachable(filterBroken(servers, now));
    },
  };
};
