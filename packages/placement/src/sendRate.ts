/** How many requests were handed to each server lately, over a sliding window. Pure but for the times handed in. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** Counts by server. */
export type SendRate = Readonly<{
  record: (server: ServerId, now: Ms) => void;
  /** Requests that may reach the server within one second of each other, as far as this box has placed them. */
  count: (server: ServerId, now: Ms) => number;
  forget: (server: ServerId) => void;
}>;

/** The second in which a server's bound counts. */
const BOUND_MS = 1_000;

/**
 * Creates a rate of nothing. `sendWithin` is the longest time from a placement to its request being sent: what arrives within a
 * second was placed within that second and so much before it.
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
