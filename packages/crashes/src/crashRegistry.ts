/** Which servers ended under which requests, in bounded memory. Pure but for the time handed in. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { RequestDigest, ServerCrash, RequestStatus } from "./types.js";

/** From when on a request is kept from servers, and how long ends count. */
export type CrashLimits = Readonly<{
  /** Servers that have to end under a request. */
  blockingEnds: number;
  /** How long an end counts. */
  memory: Ms;
}>;

/** The book of one box. */
export type CrashRegistry = Readonly<{
  /** Takes an end; false when it is known, too old, or happened before the request was released. */
  add: (end: ServerCrash, now: Ms) => boolean;
  /** Forgets the ends of a request, also those that are told late; false when none is known. */
  release: (digest: RequestDigest, now: Ms) => boolean;
  /** Judges by what is known; `besides` are servers whose end is not known yet. */
  getStatus: (
    digest: RequestDigest,
    now: Ms,
    besides?: ReadonlySet<ServerId>,
  ) => RequestStatus;
  listEnds: (digest: RequestDigest) => readonly ServerCrash[];
  listRequests: () => readonly RequestDigest[];
  /** Whether no end in it counts any more. */
  isEmpty: (now: Ms) => boolean;
}>;

/** Requests that are kept: a full engine that ends puts some 50 into the book, each in less than 300 bytes. */
const MAX_REQUESTS = 4_096;

/** Ends of one request beyond which no further one changes anything. */
const MAX_ENDS = 32;

const UNSUSPECTED: RequestStatus = { kind: "unsuspected" };

/** Creates an empty book. */
export const createCrashRegistry = ({
  blockingEnds,
  memory,
}: CrashLimits): CrashRegistry => {
  /** In the order in which they were last added to. */
  const ends = new Map<RequestDigest, ReadonlyMap<ServerId, ServerCrash>>();
  const releasedAt = new Map<RequestDigest, Ms>();

  const listEnds = (digest: RequestDigest) => [...(ends.get(digest)?.values() ?? [])];
  const listCounting = (digest: RequestDigest, now: Ms) =>
    listEnds(digest).filter(({ at }) => now - at < memory);
  /** Drops requests of which no end counts any more; those behind the first that has one were added to later. */
  const dropOutdated = (now: Ms) => {
    for (const digest of ends.keys()) {
      if (listCounting(digest, now).length > 0) return;
      ends.delete(digest);
    }
  };

  const dropOldest = (kept: Map<RequestDigest, unknown>) => {
    const [oldest] = kept.keys();
    if (oldest !== undefined) kept.delete(oldest);
  };
  /** A request that was aboard once gives way before one that is blocked. */
  const dropLeastSuspect = () => {
    for (const [digest, known] of ends) {
      if (known.size >= blockingEnds) continue;
      ends.delete(digest);
      return;
    }
    dropOldest(ends);
  };

  const add = (end: ServerCrash, now: Ms): boolean => {
    const { digest, server, at } = end;
    const known = new Map(listCounting(digest, now).map((one) => [one.server, one]));
    if (known.has(server) || known.size >= MAX_ENDS) return false;
    if (now - at >= memory || at <= (releasedAt.get(digest) ?? -Infinity)) return false;
    ends.delete(digest);
    ends.set(digest, known.set(server, end));
    if (ends.size > MAX_REQUESTS) dropLeastSuspect();
    return true;
  };

  const getStatus: CrashRegistry["getStatus"] = (digest, now, besides = new Set()) => {
    const counting = listCounting(digest, now);
    const unknown = [...besides].filter((id) => !ends.get(digest)?.has(id)).length;
    const count = counting.length + unknown;
    if (counting.length >= blockingEnds) {
      const times = counting.map(({ at }) => at).sort((a, b) => b - a);
      const left = (times[blockingEnds - 1]! + memory - now) as Ms;
      return { kind: "blocked", ends: count, left };
    }
    return count > 0 ? { kind: "suspected", ends: count } : UNSUSPECTED;
  };

  return {
    add,
    release: (digest, now) => {
      if (!ends.delete(digest)) return false;
      releasedAt.delete(digest);
      releasedAt.set(digest, now);
      if (releasedAt.size > MAX_REQUESTS) dropOldest(releasedAt);
      return true;
    },
    getStatus,
    listEnds,
    listRequests: () => [...ends.keys()],
    isEmpty: (now) => {
      dropOutdated(now);
      return ends.size === 0;
    },
  };
};
