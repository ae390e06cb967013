/** Figures of requests under which servers end. */
import type { Ms } from "@stairgauge/common";
import type { CrashUpdate } from "./types.js";

/**
 * A server that has carried a request for longer, or has made more events of it, did not end by beginning to run it: those that a
 * request ended did so within 0.2 s and before its first event, with streams aboard that had made up to 226.
 */
export const LONGEST_FATAL_RUN_MS = 5_000 as Ms;
export const MAX_FATAL_EVENTS = 32;

/** Ends from which a box sends a request on no further within one try: its client may come again, and other boxes hear of it. */
export const ENDS_TO_STOP_REPEATS = 2;

/**
 * Ends from which a hub hands them on to all boxes: most requests that were aboard when a server ended have one only, and a full
 * engine has dozens aboard.
 */
export const SHARED_ENDS = 2;

/** News of which there is none. */
export const NO_CRASH_UPDATE: CrashUpdate = { ends: [], served: [] };

/** Form of a digest, wherever one comes from: 128 bits in hexadecimal digits. */
export const REQUEST_DIGEST = /^[0-9a-f]{32}$/;
