/**
 * Learns how long a new connection may stay unread. What an unread connection will ask for is unknown, so this goes by
 * the requests that were read last: by how long their clients wait, and by how long their answers took to begin.
 */
import type { Ms } from "@stairgauge/common";
import {
  ANSWER_QUANTILE,
  CALLER_QUANTILE,
  LAST_REQUESTS,
  MIN_UNREAD_MS,
  MIN_UNREAD_SHARE,
} from "./constants.js";

/** How long the client of a request waits, from its sending. */
export type ReadRequest = Readonly<{
  /** Time in which the request has to be read; undefined if its client waits as long as for the answer. */
  readWithin: Ms | undefined;
  /** Time in which the answer has to begin. */
  answerWithin: Ms;
}>;

/** The limit of one box. */
export type UnreadLimit = Readonly<{
  recordRead: (request: ReadRequest) => void;
  /** An answer began this long after its request was read. */
  recordAnswer: (after: Ms) => void;
  /** Time for which a connection may stay unread; undefined before the first request. */
  get: () => Ms | undefined;
}>;

const pickQuantile = (values: readonly number[], quantile: number): number | undefined =>
  values.toSorted((a, b) => a - b)[Math.floor(values.length * quantile)];

/** Computes the limit. Pure. */
export const computeUnreadLimit = (
  requests: readonly ReadRequest[],
  answerTimes: readonly number[],
): Ms | undefined => {
  const answerTime = pickQuantile(answerTimes, ANSWER_QUANTILE) ?? 0;
  const limits = requests.map(({ readWithin = Infinity, answerWithin }) =>
    Math.min(
      readWithin,
      Math.max(answerWithin - answerTime, answerWithin * MIN_UNREAD_SHARE),
    ),
  );
  const limit = pickQuantile(limits, CALLER_QUANTILE);
  return limit === undefined ? undefined : (Math.max(MIN_UNREAD_MS, limit) as Ms);
};

const pushLast = <T>(values: T[], value: T) => {
  values.push(value);
  if (values.length > LAST_REQUESTS) values.shift();
};

/** Creates the limit of a box that has read no request. */
export const createUnreadLimit = (): UnreadLimit => {
  const requests: ReadRequest[] = [];
  const answerTimes: number[] = [];
  let limit: Ms | undefined;
  let isCurrent = true;

  return {
    recordRead: (request) => {
      pushLast(requests, request);
      isCurrent = false;
    },
    recordAnswer: (after) => {
      pushLast(answerTimes, after);
      isCurrent = false;
    },
    get: () => {
      if (!isCurrent) limit = computeUnreadLimit(requests, answerTimes);
      isCurrent = true;
      return limit;
    },
  };
};
