/**
 * Which of its paths to servers a box has lost. A failed connection alone does not tell a lost path from a
 * failed server; a path is lost when this box does not reach a server that another box reaches. The state
 * of the server itself is not kept here. Pure: the caller connects and passes the results.
 */
import type { BoxName, Clock, DataHallName, Ms, Random } from "@stairgauge/common";
import type { ServerEntry, ServerId } from "@stairgauge/directory";
import {
  CONFIRM_INTERVAL_MS,
  DOWN_MS,
  FAILURE_MEMORY_MS,
  HANGS_TO_LOSE,
  LONGEST_KEPT,
  MAX_PROBES_AT_ONCE,
  MAX_UNREACHED_CARRIERS,
  MIN_WAIT_MS,
  PROBE_INTERVAL_MS,
  PROBES_TO_REGAIN,
  REACHING_MS,
  SERVERS_TO_LOSE_ALL,
  WAIT_FACTOR,
} from "./constants.js";
import type { PathEvent, UnreachedCause } from "./types.js";

/** What is needed of a server's entry. */
export type PathEntry = Pick<ServerEntry, "id" | "dataHall">;

/** Options of the paths. */
export type ServerPathsOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  random: Pick<Random, "nextFloat" | "nextInt">;
  onEvent: (event: PathEvent) => void;
}>;

/** The paths of one box. */
export type ServerPaths = Readonly<{
  /** Whether requests to the server go by way of another box. */
  isLost: (server: ServerId) => boolean;
  /**
   * Whether this box should carry nothing to the server: the path is lost, or connections fail and no
   * other box was asked whether it reaches the server.
   */
  isDoubtful: (server: ServerId) => boolean;
  /**
   * Why this box failed to connect to the server a moment ago, although it has reached others since: the path is
   * intact as far as it can tell, so the server is what failed. Undefined otherwise.
   */
  findServerFailure: (server: ServerId) => UnreachedCause | undefined;
  /** Whether neither this box nor a carrier reached the server a moment ago. */
  isDown: (server: ServerId) => boolean;
  /** How long a connection may take before another box is asked; `limit` while nothing is known. */
  computeWait: (entry: PathEntry, limit: Ms) => Ms;
  /** How many carriers may fail to reach a server before it counts as down. */
  countUnreachedAllowed: () => number;
  /** This box has connected to the server, which took this long. */
  recordConnected: (entry: PathEntry, took: Ms) => void;
  /** This box could not connect to the server. */
  recordUnreached: (entry: PathEntry, cause: UnreachedCause) => void;
  /** A carrier has connected to a server that this box could not connect to. */
  recordCarried: (entry: PathEntry, carrier: BoxName) => void;
  /** The carriers could not connect to the server either. */
  recordDown: (entry: PathEntry, detail: string) => void;
  /** Takes the servers whose paths are to be probed now, out of all servers. */
  takeProbes: (servers: readonly PathEntry[]) => readonly ServerId[];
  /** A probe has got an answer from the server, or none. */
  recordProbe: (entry: PathEntry, isReached: boolean) => void;
  /** Whether any path has to be probed. */
  needsProbes: () => boolean;
  listLost: () => readonly ServerId[];
  forget: (server: ServerId) => void;
}>;

type LostPath = { readonly since: Ms; successes: number; nextProbeAt: number };
type Failures = Readonly<{ count: number; cause: UnreachedCause; at: Ms }>;

/** Creates the paths; all are intact. */
export const createServerPaths = (options: ServerPathsOptions): ServerPaths => {
  const { clock, random, onEvent } = options;
  /** Connections to each server that failed lately, since one last succeeded. */
  const failures = new Map<ServerId, Failures>();
  const lost = new Map<ServerId, LostPath>();
  const downUntil = new Map<ServerId, number>();
  const longestByHall = new Map<DataHallName, number>();
  /** Since any server was last reached: servers lost, and connections without an answer. */
  const lostInRow = new Set<ServerId>();
  let hangsInRow = 0;
  let areAllLost = false;
  let reachedAt = -Infinity;

  const computeProbeTime = (interval: number) =>
    clock.monotonic() + interval * (0.75 + random.nextFloat() / 2);

  const endAllLost = () => {
    if (!areAllLost) return;
    areAllLost = false;
    onEvent({ kind: "some_left" });
  };
  const recordSuccess = ({ id }: PathEntry) => {
    reachedAt = clock.monotonic();
    lostInRow.clear();
    hangsInRow = 0;
    endAllLost();
    downUntil.delete(id);
  };
  const restorePath = (id: ServerId, { since }: LostPath) => {
    lost.delete(id);
    onEvent({ kind: "regained", server: id, lasted: (clock.monotonic() - since) as Ms });
  };
  const countSuccess = (id: ServerId, path: LostPath) => {
    path.successes += 1;
    if (path.successes >= PROBES_TO_REGAIN) restorePath(id, path);
    else path.nextProbeAt = computeProbeTime(CONFIRM_INTERVAL_MS);
  };

  const listRecentFailures = () => {
    const oldest = clock.monotonic() - FAILURE_MEMORY_MS;
    for (const [id, { at }] of failures) if (at < oldest) failures.delete(id);
    return failures;
  };
  /** Hangs at several servers have one cause if no connection succeeded between them. */
  const isProven = ({ cause, count }: Failures) =>
    cause === "refused" || count >= HANGS_TO_LOSE || hangsInRow >= HANGS_TO_LOSE;

  const isLost = (id: ServerId) => areAllLost || lost.has(id);

  const recordConnected: ServerPaths["recordConnected"] = (entry, took) => {
    const { id, dataHall } = entry;
    const longest = (longestByHall.get(dataHall) ?? 0) * LONGEST_KEPT;
    longestByHall.set(dataHall, Math.max(longest, took));
    recordSuccess(entry);
    failures.delete(id);
  };
  const recordUnreached: ServerPaths["recordUnreached"] = ({ id }, cause) => {
    const path = lost.get(id);
    if (path) path.successes = 0;
    if (cause === "no_connection") hangsInRow += 1;
    const count = (listRecentFailures().get(id)?.count ?? 0) + 1;
    failures.set(id, { count, cause, at: clock.monotonic() });
  };

  return {
    isLost,
    isDoubtful: (id) => {
      const recent = listRecentFailures();
      return isLost(id) || (recent.has(id) && recent.size > 1);
    },
    findServerFailure: (id) => {
      const failed = failures.get(id);
      if (!failed || isLost(id)) return undefined;
      const isRecent = clock.monotonic() - failed.at < DOWN_MS;
      return isRecent && reachedAt >= failed.at ? failed.cause : undefined;
    },
    isDown: (id) => (downUntil.get(id) ?? -Infinity) > clock.monotonic(),
    computeWait: ({ dataHall }, limit) => {
      const longest = longestByHall.get(dataHall);
      if (longest === undefined) return limit;
      return Math.min(limit, Math.max(MIN_WAIT_MS, longest * WAIT_FACTOR)) as Ms;
    },
    countUnreachedAllowed: () =>
      clock.monotonic() - reachedAt < REACHING_MS ? 1 : MAX_UNREACHED_CARRIERS,
    recordConnected,
    recordUnreached,
    recordCarried: ({ id }, carrier) => {
      const failed = failures.get(id);
      downUntil.delete(id);
      if (!failed || lost.has(id) || !isProven(failed)) return;
      const nextProbeAt = computeProbeTime(PROBE_INTERVAL_MS);
      lost.set(id, { since: clock.monotonic(), successes: 0, nextProbeAt });
      lostInRow.add(id);
      onEvent({ kind: "lost", server: id, cause: failed.cause, carrier });
      if (areAllLost || lostInRow.size < SERVERS_TO_LOSE_ALL) return;
      areAllLost = true;
      onEvent({ kind: "all_lost", servers: lostInRow.size });
    },
    recordDown: ({ id }, detail) => {
      const now = clock.monotonic();
      for (const [known, until] of downUntil) if (until <= now) downUntil.delete(known);
      const wasDown = downUntil.has(id);
      downUntil.set(id, now + DOWN_MS);
      if (!wasDown) onEvent({ kind: "down", server: id, detail });
    },
    takeProbes: (servers) => {
      const now = clock.monotonic();
      const known = new Set(servers.map(({ id }) => id));
      const due = [...lost]
        .filter(([id, { nextProbeAt }]) => known.has(id) && nextProbeAt <= now)
        .toSorted(([, a], [, b]) => a.nextProbeAt - b.nextProbeAt)
        .slice(0, MAX_PROBES_AT_ONCE);
      for (const [, path] of due) path.nextProbeAt = computeProbeTime(PROBE_INTERVAL_MS);
      const ids = due.map(([id]) => id);
      // While all paths count as lost, some that were never tried may be intact.
      const untried = areAllLost ? servers.filter(({ id }) => !lost.has(id)) : [];
      if (due.length === 0 || untried.length === 0) return ids;
      return [...ids, untried[random.nextInt(0, untried.length - 1)]!.id];
    },
    recordProbe: (entry, isReached) => {
      const { id } = entry;
      if (!isReached) {
        recordUnreached(entry, failures.get(id)?.cause ?? "no_connection");
        return;
      }
      recordSuccess(entry);
      failures.delete(id);
      const path = lost.get(id);
      if (path) countSuccess(id, path);
    },
    needsProbes: () => lost.size > 0,
    listLost: () => [...lost.keys()],
    forget: (id) => {
      failures.delete(id);
      lost.delete(id);
      lostInRow.delete(id);
      downUntil.delete(id);
      // Without a lost path nothing is probed, so nothing else would end this state.
      if (lost.size === 0) endAllLost();
    },
  };
};
