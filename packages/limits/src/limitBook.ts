/**
 * Which servers have named a limit, by what they say in their answers. A limit holds from the first answer with it until an answer
 * proves that the server no longer names it. Pure but for the clock handed in.
 */
import type { BoxName, Clock, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { HOLD_REQUESTS, LEAST_HOLD_MS, MEMORY_MS, MOST_HOLD_MS } from "./constants.js";
import type { KnownLimit, LimitEvent, LimitSign } from "./types.js";

/** What a book is given. */
export type LimitBookOptions = Readonly<{
  /** A clock by which ages are proved. */
  clock: Clock;
  onEvent: (event: LimitEvent) => void;
}>;

/** The book of one box. */
export type LimitBook = Readonly<{
  /**
   * A server has answered this box; `sentAgo` is the time since its request was sent, undefined for calls in whose answers a server
   * may name a limit and need not.
   */
  takeSign: (server: ServerId, sign: LimitSign, sentAgo: Ms | undefined) => void;
  find: (server: ServerId) => KnownLimit | undefined;
  forget: (server: ServerId) => void;
}>;

type Kept = Readonly<{ perSecond: number; firstAt: number; lastAt: number }>;

const MS_PER_S = 1_000;

/** Works out how long after the last answer with a limit an answer without it says nothing. */
export const computeHold = (perSecond: number): Ms =>
  Math.min(
    MOST_HOLD_MS,
    Math.max(LEAST_HOLD_MS, (HOLD_REQUESTS / perSecond) * MS_PER_S),
  ) as Ms;

/** Creates an empty book. */
export const createLimitBook = ({ clock, onEvent }: LimitBookOptions): LimitBook => {
  const limits = new Map<ServerId, Kept>();
  /** Servers whose last word was no limit, so that each is told once. */
  const unreadable = new Set<ServerId>();

  const find = (server: ServerId): KnownLimit | undefined => {
    const kept = limits.get(server);
    if (!kept) return undefined;
    const now = clock.monotonic();
    const age = (now - kept.lastAt) as Ms;
    if (age < MEMORY_MS)
      return { perSecond: kept.perSecond, knownFor: (now - kept.firstAt) as Ms, age };
    limits.delete(server);
    onEvent({ kind: "run_out", server, age });
    return undefined;
  };

  const recordNamed = (server: ServerId, perSecond: number, by: BoxName | undefined) => {
    const now = clock.monotonic();
    const known = find(server);
    const firstAt = limits.get(server)?.firstAt ?? now;
    limits.set(server, { perSecond, firstAt, lastAt: now });
    if (known?.perSecond === perSecond) return;
    const kind = known ? "changed" : "named";
    onEvent({ kind, server, perSecond, age: 0 as Ms, by });
  };

  const attemptLift = (server: ServerId, sentAgo: Ms, by: BoxName | undefined) => {
    const known = find(server);
    if (!known || known.age - sentAgo < computeHold(known.perSecond)) return;
    limits.delete(server);
    onEvent({ kind: "lifted", server, age: known.age, by });
  };

  return {
    takeSign: (server, sign, sentAgo) => {
      if (sign.kind === "unreadable") {
        if (unreadable.has(server)) return;
        unreadable.add(server);
        onEvent({ kind: "unreadable", server, text: sign.text });
        return;
      }
      unreadable.delete(server);
      if (sign.kind === "named") recordNamed(server, sign.perSecond, undefined);
      else if (sentAgo !== undefined) attemptLift(server, sentAgo, undefined);
    },
    find,
    forget: (server) => {
      limits.delete(server);
      unreadable.delete(server);
    },
  };
};
