/** Durations and limits of contention and slots. */
import type { Ms } from "@stairgauge/common";
import type { ContentionUpdate } from "./types.js";

/** How long a service stays contended after the newest sign: two retries of a refused client. */
export const CONTENDED_MS = 5_000 as Ms;

/**
 * Interval at which signs of a contended service are sent or forwarded again. Four of them may be lost
 * before another box takes the service for open.
 */
export const SHARE_INTERVAL_MS = 1_000;

/** Interval at which rejections by one server are sent; shorter than their effect (`LOWERED_MS`). */
export const FULL_INTERVAL_MS = 250;

/** How long a rejection lowers the usable slots of a server. */
export const LOWERED_MS = 1_000 as Ms;

/**
 * How long a server counts as brittle after its last statement. A quiet service answers nothing for
 * seconds, and the first requests of a burst must not be too many.
 */
export const BRITTLE_MEMORY_MS = 10_000;

/** How long a box without an admitting box sends nothing to a brittle server that rejected its request. */
export const REJECTED_MS = 1_000;

/** Share of a service's slots in use from which it counts as contended. */
export const CONTENDED_UTILIZATION = 0.9;

/** Most services and servers on record; a message carries at most as many servers. */
export const MAX_SERVICES = 256;
export const MAX_SERVERS = 1_024;
export const MAX_FULL_PER_SIGN = 64;

/** No signs. */
export const NO_CONTENTION: ContentionUpdate = { signs: [], unknownParts: 0 };
