/** Decides which of the connections that wait to be read can be read in time. Pure. */
import type { Ms } from "@stairgauge/common";
import { MAX_RISING_MS } from "./constants.js";

/** Why a connection is closed unread. */
export type UnreadReason =
  /** The box works on as many requests as it has processor time for. */
  | "no_room"
  /** It has waited for as long as callers wait. */
  | "waited_too_long"
  /** It would, until those before it are read. */
  | "out_of_reach";

/** How long the connections wait, by what the box measures. */
export type BacklogTerms = Readonly<{
  /** Time for which a connection may stay unread. */
  limit: number;
  /** Time that reading from one connection takes; undefined if it was not measured. */
  readingTime: number | undefined;
}>;

/**
 * Returns for each connection, the first in turn first, why it can't be read in time; undefined if it can. One that
 * can't takes no time from those behind it.
 */
export const decideReach = (
  waitedFor: readonly number[],
  { limit, readingTime = 0 }: BacklogTerms,
): readonly (Exclude<UnreadReason, "no_room"> | undefined)[] => {
  let kept = 0;
  return waitedFor.map((waited) => {
    if (waited > limit) return "waited_too_long";
    if (waited + kept * readingTime > limit) return "out_of_reach";
    kept += 1;
    return undefined;
  });
};

/** The connections that wait to be read. */
export type Backlog = Readonly<{
  count: number;
  /** Time since there has been one without a break, in ms. */
  age: number;
  /** Time for which a connection may stay unread; undefined if it is not known. */
  limit: Ms | undefined;
}>;

/**
 * Whether the event loop is busy with a burst that it gets through in time: the connections became fewer in the
 * window, or have only begun to come, and none had to be closed.
 */
export const isCatchingUp = (
  { count, age, limit = Infinity as Ms }: Backlog,
  countBefore: number,
  isHeldBack: boolean,
): boolean =>
  count > 0 &&
  !isHeldBack &&
  (count < countBefore || age < Math.min(limit, MAX_RISING_MS));
