/** Durations and shares by which a box recognizes that it lacks processor time. */
import type { Ms } from "@stairgauge/common";

/** How often the event loop is read. Callers of plain requests wait some 600 ms, and two windows tell. */
export const WINDOW_MS = 250 as Ms;

/** Time after which the current window says more of the event loop than the last one. */
export const MIN_CURRENT_MS = 50 as Ms;

/**
 * Busy share from which a window shows a lack of processor time. An event loop that is never idle has work that
 * waits for it, however much or little of a processor the box gets.
 */
export const SHORT_SHARE = 0.95;

/**
 * Windows in a row that show a lack. A pause of the garbage collector or a suspension of the machine takes the
 * whole of one window, however long it lasts.
 */
export const SHORT_WINDOWS = 2;

/** Busy share below which a window is calm: requests then wait for little but their own work. */
export const CALM_SHARE = 0.8;

/** Calm windows in a row after which the box has enough again. */
export const CALM_WINDOWS = 4;

/**
 * Time of a turn of the event loop from which the limit shrinks, and below which it may grow. A plain request takes
 * some ten turns from its connection to its answer, and its caller waits 600 ms.
 */
export const LONG_TURN_MS = 30;
export const SHORT_TURN_MS = 15;

/** Factor by which the limit of open requests shrinks in a window: it is found within a second or two, and overshoots little. */
export const INTAKE_SHRINKAGE = 0.85;

/** Largest factor by which it grows in a window, however calm the event loop is. */
export const MAX_INTAKE_GROWTH = 1.25;

/**
 * Weight of the latest window in the means by which the limit changes. Where one request takes a tenth of a second, an
 * event loop that is busy for three quarters of the time has windows without idle time.
 */
export const LATEST_WEIGHT = 0.4;

/** Requests that a box works on at once even if it never gets calm: where all boxes lack processor time, each still serves some. */
export const MIN_INTAKE = 2;

/** How many requests and answers tell how long callers wait and how long answers take. */
export const LAST_REQUESTS = 32;

/** Callers wait at least as long as this quantile of the last requests; a single impatient client changes nothing. */
export const CALLER_QUANTILE = 0.1;

/** Answers begin within this quantile of the last ones. */
export const ANSWER_QUANTILE = 0.9;

/** Share of a caller's time that a connection may stay unread, however long answers take: slow servers are no reason to send callers away. */
export const MIN_UNREAD_SHARE = 1 / 3;

/** Time that a connection may stay unread in any case: no client can have the box close those of others by naming a shorter one. */
export const MIN_UNREAD_MS = 200;

/** Readings before their mean tells how long one takes. The first ones of a process run code that is not compiled yet. */
export const MIN_READINGS = 8;

/**
 * Readings of that mean, as a share of the connections that wait. A second of long turns, as when the events of many streams
 * arrive together, says little of what a thousand further readings take; where few wait, it is most of their time.
 */
export const MEASURED_SHARE = 1 / 8;

/**
 * Time for which the connections that wait may become more without being a lack of processor time. Callers give a
 * connection a second to come up, so those of one burst have been accepted or given up by then.
 */
export const MAX_RISING_MS = 2_000;

/** How often the connections closed unread are logged at most. */
export const REPORT_INTERVAL_MS = 1_000 as Ms;

/**
 * Part of a turn of the event loop that counts toward the time for which a connection is unread. After a suspension or a pause of the garbage
 * collector, a box reads its clients' requests and doesn't send them away.
 */
export const MAX_COUNTED_TURN_MS = 50 as Ms;

/** Turns in a row that only accept connections. Reading from one costs as much as accepting and closing a dozen. */
export const MAX_ACCEPTING_TURNS = 8;

/**
 * Bytes of a request that are handled as soon as they arrive: more than the head of an ordinary one, and few enough
 * that they cost about a millisecond in chunks of one byte.
 */
export const SHORT_READ_BYTES = 4 * 1024;

/**
 * An answer is parsed in pieces of that size. Those with fewer chunks than this may be followed by one of twice the size, up to
 * the largest one.
 */
export const FEW_CHUNKS = 64;
export const MAX_PIECE_BYTES = 64 * 1024;

/**
 * Time in which what goes beyond that is handled, per time without it: a third of all. It leaves an event loop under such a
 * load enough idle time that the box doesn't take itself for short of processor time and turn other clients away.
 */
export const LONG_READ_SHARE = 0.5;

/**
 * Time of one connection's turn. Turns of a number of pieces would be as long as each sender makes them: a piece in chunks of
 * one byte costs a hundred times as much as another.
 */
export const LONG_READ_TURN_MS = 0.5;

/** Longest time without a pause for that, well below the time of a turn that is long. */
export const MAX_LONG_READ_MS = 5;

/**
 * Time beyond that which still counts. A turn is longer while the box has much other work, or was suspended; long reads
 * go on soon nevertheless.
 */
export const MAX_LONG_READ_DEBT_MS = 20;

/** Pause behind it. */
export const LONG_READ_PAUSE_MS = 5 as Ms;
