/**
 * Counts the requests recently placed on each server, over a sliding window. Pure but for the times
 * passed in.
 */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** Counts of recent requests by server. */
export type SendRate = Readonly<{
  record: (server: ServerId, now: Ms) => void;
  /**
   * Returns the number of requests that may reach the server within one second, out of those that
   * this box has placed.
   */
  count: (server: ServerId, now: Ms) => number;
  forget: (server: ServerId) => void;
}>;

/** Span over which a server's bound applies. */
const BOUND_MS = 1_000;

/**
 * Creates the counter, with no requests recorded. `sendWithin` is the longest time from a placement
 * to the sending of its request: requests that arrive within one second were placed within that
 * second or up to `sendWithin` before it.
 */
export const createSendRate = (sendWithin: Ms): SendRate => {
  const placedAt = new Map<ServerId, number[]>();
  const listRecent = (server: ServerId, now: Ms): number[] => {
    const start = now - BOUND_MS - sendWithin;
    const times = (placedAt.get(server) ?? []).filter((time) => time > start);
    if (times.length > 0) placedAt.set(server, times);
    else placedAt.delete(server);
    return times;
  };

  return {
    record: (server, now) => void placedAt.set(server, [...listRecent(server, now), now]),
    count: (server, now) => listRecent(server, now).length,
    forget: (server) => void placedAt.delete(server),
  };
};
