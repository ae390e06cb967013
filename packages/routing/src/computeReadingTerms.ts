/** Computes how long a client waits until its request is read, and until its answer begins. Pure. */
import type { Ms } from "@stairgauge/common";
import { computeTimeLimit } from "./decideAccess.js";
import type { Route } from "./types.js";

/** What the client of one request waits for. */
export type ReadingTerms = Readonly<{
  /** Time in which the request has to be read; undefined if its client waits as long as for the answer. */
  readWithin: Ms | undefined;
  /** Time in which the answer has to begin. */
  answerWithin: Ms;
}>;

/**
 * Clients try a repeatable request at another box once it is not read for this long, or for this share of their time.
 * Source: the platform's documentation of clients.
 */
const MAX_UNREAD_MS = 1_000;
const UNREAD_SHARE = 1 / 3;

/** Computes the terms of a request that its client waits `patience` for, if it said so. */
export const computeReadingTerms = (
  route: Route,
  patience: Ms | undefined,
): ReadingTerms => {
  const limit = computeTimeLimit(route, patience);
  const readWithin =
    route.kind === "repeatable"
      ? (Math.min(MAX_UNREAD_MS, limit * UNREAD_SHARE) as Ms)
      : undefined;
  return { readWithin, answerWithin: limit };
};
