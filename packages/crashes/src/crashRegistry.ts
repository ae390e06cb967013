/** Records which servers crashed under which requests, in bounded memory. Pure: the time is passed in. */
import { dropOldest, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { BLOCKED_PART_MEMORY_MS } from "./constants.js";
import type { RequestDigest, ServerCrash, RequestStatus } from "./types.js";

/** When a suspect is blocked, and how long crashes count. */
export type CrashLimits = Readonly<{
  /** Number of servers that must have crashed under a suspect before it is blocked. */
  blockingEnds: number;
  /** How long a crash counts. */
  memory: Ms;
}>;

/** The crashes that one box has on record. */
export type CrashRegistry = Readonly<{
  /** Adds a crash; returns false when it is already on record, too old, or happened before the request was released. */
  add: (crash: ServerCrash, now: Ms) => boolean;
  /** Removes the crashes of a request and ignores later reports of earlier ones; returns false when none is on record. */
  release: (digest: RequestDigest, now: Ms) => boolean;
  /** Returns the status by the crashes on record; `unconfirmed` are servers that broke off and may have crashed. */
  getStatus: (
    digest: RequestDigest,
    now: Ms,
    unconfirmed?: ReadonlySet<ServerId>,
  ) => RequestStatus;
  listCrashes: (digest: RequestDigest) => readonly ServerCrash[];
  listRequests: () => readonly RequestDigest[];
  /** Returns whether no crash on record counts any more. */
  isEmpty: (now: Ms) => boolean;
}>;

/** Maximum number of requests on record. The crash of a full engine adds about 50, each of less than 300 bytes. */
const MAX_REQUESTS = 4_096;

/** Maximum number of crashes on record for one request; further ones would not change its status. */
const MAX_CRASHES_PER_REQUEST = 32;

const UNSUSPECTED: RequestStatus = { kind: "unsuspected" };

/** Creates an empty registry. */
export const createCrashRegistry = ({
  blockingEnds,
  memory,
}: CrashLimits): CrashRegistry => {
  /** Ordered by the time of the last addition. */
  const crashes = new Map<RequestDigest, ReadonlyMap<ServerId, ServerCrash>>();
  const releasedAt = new Map<RequestDigest, Ms>();

  const listCrashes = (digest: RequestDigest) => [
    ...(crashes.get(digest)?.values() ?? []),
  ];
  const getMemory = (known: readonly ServerCrash[]): Ms =>
    known.length >= blockingEnds && known[0]!.part !== undefined
      ? (Math.max(memory, BLOCKED_PART_MEMORY_MS) as Ms)
      : memory;
  const listCounting = (digest: RequestDigest, now: Ms) => {
    const known = listCrashes(digest);
    const counted = getMemory(known);
    return known.filter(({ at }) => now - at < counted);
  };
  /**
   * Removes suspects without a crash that counts. Stops at the first that has one: those after it were updated later.
   * Blocked ones, which may count for longer, are passed over.
   */
  const dropOutdated = (now: Ms) => {
    for (const digest of crashes.keys()) {
      const counting = listCounting(digest, now).length;
      if (counting === 0) crashes.delete(digest);
      else if (counting < blockingEnds) return;
    }
  };

  /** Removes the oldest request with too few crashes to be blocked, or the oldest of all if there is none. */
  const dropLeastSuspect = () => {
    for (const [digest, known] of crashes) {
      if (known.size >= blockingEnds) continue;
      crashes.delete(digest);
      return;
    }
    dropOldest(crashes, MAX_REQUESTS);
  };

  const add = (crash: ServerCrash, now: Ms): boolean => {
    const { digest, server, at } = crash;
    const known = new Map(listCounting(digest, now).map((one) => [one.server, one]));
    if (known.has(server) || known.size >= MAX_CRASHES_PER_REQUEST) return false;
    if (
      now - at >= getMemory([...known.values(), crash]) ||
      at <= (releasedAt.get(digest) ?? -Infinity)
    )
      return false;
    crashes.delete(digest);
    crashes.set(digest, known.set(server, crash));
    if (crashes.size > MAX_REQUESTS) dropLeastSuspect();
    return true;
  };

  const getStatus: CrashRegistry["getStatus"] = (
    digest,
    now,
    unconfirmed = new Set(),
  ) => {
    const counting = listCounting(digest, now);
    const added = [...unconfirmed].filter((id) => !crashes.get(digest)?.has(id)).length;
    const count = counting.length + added;
    if (counting.length >= blockingEnds) {
      const times = counting.map(({ at }) => at).sort((a, b) => b - a);
      const left = (times[blockingEnds - 1]! + getMemory(counting) - now) as Ms;
      return { kind: "blocked", ends: count, left };
    }
    return count > 0 ? { kind: "suspected", ends: count } : UNSUSPECTED;
  };

  return {
    add,
    release: (digest, now) => {
      if (!crashes.delete(digest)) return false;
      releasedAt.delete(digest);
      releasedAt.set(digest, now);
      dropOldest(releasedAt, MAX_REQUESTS);
      return true;
    },
    getStatus,
    listCrashes,
    listRequests: () => [...crashes.keys()],
    isEmpty: (now) => {
      dropOutdated(now);
      return crashes.size === 0;
    },
  };
};
