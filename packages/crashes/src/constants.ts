/** Thresholds for requests that may crash servers. */
import type { Ms } from "@stairgauge/common";
import type { CrashUpdate } from "./types.js";

/**
 * A request that has run for longer, or has produced more events, is not suspected of a server's crash. Requests that crashed
 * servers did so within 0.2 s and before their first event; other streams on these servers had produced up to 226 events.
 */
export const MAX_FATAL_RUN_MS = 5_000 as Ms;
export const MAX_FATAL_EVENTS = 32;

/**
 * Number of crashes from which a box no longer retries a request by itself. Its client may still repeat it, and other boxes then
 * have the crashes on record.
 */
export const CRASHES_TO_STOP_RETRIES = 2;

/**
 * Number of crashes of one request from which a hub forwards them to all boxes. Most requests that were running when a server
 * crashed have only one, and a full engine runs dozens of them.
 */
export const MIN_SHARED_CRASHES = 2;

/**
 * How long crashes count against a part of a prompt once it is blocked: while it still crashes servers, three of them end
 * a day.
 */
export const BLOCKED_PART_MEMORY_MS = 86_400_000 as Ms;

/**
 * A part that servers have survived before is blocked only after this many crashes within this time: it is in requests
 * that were aboard when servers ended for another reason, and most requests of a route may hold it.
 */
export const PROVEN_PART_ENDS = 6;
export const PROVEN_PART_MEMORY_MS = 60_000 as Ms;

/**
 * Where it is not certain which of several parts crashes servers, requests that hold only one of them are tried: at once
 * after the first crashes, then with pauses, so that a wrong guess ends few servers.
 */
export const MAX_EARLY_TRIALS = 1;
export const TRIAL_PAUSE_MS = 10_000 as Ms;

/** An update without content. */
export const NO_CRASH_UPDATE: CrashUpdate = { ends: [], served: [] };

/** Format of a request digest: 128 bits as hexadecimal digits. */
export const REQUEST_DIGEST = /^[0-9a-f]{32}$/;
