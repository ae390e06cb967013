/** Durations, shares and limits of admission. */
import type { Ms } from "@stairgauge/common";

/**
 * How often the queue is checked. Capacity for generations changes all the time, and a check costs
 * only a few placement decisions.
 */
export const POLL_INTERVAL_MS = 30 as Ms;

/** A request may still be placed at its latest start; it is refused this long after it. */
export const EXPIRY_DELAY_MS = 1 as Ms;

/**
 * Time constant of the rates. 86 % of the weight is on the last 2 s: long enough for some 100
 * completions of a small service, short enough to follow a burst of 3 s.
 */
export const RATE_DECAY_MS = 1_000;

/** Observed busy time below which the rate of completions is not used without an expected rate. */
export const MIN_OBSERVED_MS = 100;

/**
 * Initial weight of the expected rate (slots over work), as busy time: a few completions of each
 * slot. It falls to 0 over twice this busy time, so that a wrong number of slots has no lasting
 * effect: with a constant weight and four times the slots, 26 % of the served requests were late.
 */
export const EXPECTED_RATE_WEIGHT_MS = 200;

/**
 * Arrivals beyond this share of the rate of free slots keep overtaking a late request until its
 * deadline. The remaining 0.1 is about the error of both rates.
 */
export const OVERLOAD_SHARE = 0.9;

/**
 * Share of the target time that a new request is planned to use. Without the remainder, the queue
 * settles at a length where answers come just at the target: 10 to 14 % of the served requests were
 * late at twice the capacity, with service times that vary by 30 %, instead of 1 to 3 %.
 */
export const PLANNED_AIM_SHARE = 0.85;

/**
 * Least share of the rate that is expected to be left by more urgent requests, so that the expected
 * wait of less urgent ones stays finite.
 */
export const MIN_REMAINING_SHARE = 0.05;

/** How far ahead clients are told to retry; later demand cannot be foreseen. */
export const MAX_RETRY_AHEAD_MS = 10_000 as Ms;

/** Half-life of usage. */
export const USAGE_HALF_LIFE_MS = 5_000;

/** An idle workspace goes before the others by at most its share of this time. */
export const MAX_CREDIT_MS = 1_000;

/** Largest number of workspaces and subjects whose usage is kept. */
export const MAX_ACCOUNTS = 4_096;

/**
 * Part of its cost that a refused attempt is charged to its subject. It uses no slot, but a client
 * that retries at once would otherwise try more often than the others of its workspace to find the
 * queue short. The workspace is not charged: with 0.01 of the cost, one whose clients retried at
 * once got 65 % of its requests served, and another with the same demand 97 %.
 */
export const REFUSED_COST_SHARE = 0.1;

/** Largest number of services and of tiers per service whose rates are kept. */
export const MAX_SERVICES = 1_024;
export const MAX_TIERS = 64;
