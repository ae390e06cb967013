/** A structured log on standard output, limited in lines per second, that never blocks the event loop. */
import { pino, type Logger as PinoLogger } from "pino";
import type { Clock, Ms } from "@stairgauge/common";
import type { LogLevel } from "./logger.js";

/** Options of the log. */
export type DecisionLogOptions = Readonly<{
  level: LogLevel;
  clock: Clock;
  /** Most decisions per second that are written; the next written decision carries the count of the others. */
  linesPerSecond: number;
  base: Readonly<Record<string, string>>;
}>;

/** The log of a box. */
export type DecisionLog = Readonly<{
  /** Logs a decision about a request or a change of the box's state; left out beyond `linesPerSecond`. */
  writeDecision: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Logs a start, stop, reload, loss or recovery; not limited by `linesPerSecond`. */
  writeNotice: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Like `writeNotice`, with level `warn`. */
  writeWarning: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Writes buffered lines out synchronously; for the end of the process. */
  flush: () => void;
}>;

/** Most bytes buffered for a slow reader of standard output; lines beyond that are dropped and counted. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const SECOND_MS = 1000;
/**
 * Longest time that lines are buffered. If the box is killed, buffered lines are lost, and with them the cause of its callers'
 * failures.
 */
const FLUSH_INTERVAL_MS = 100 as Ms;
const MIN_WRITE_BYTES = 4096;

/** Creates the log; every line is JSON. */
export const createDecisionLog = (options: DecisionLogOptions): DecisionLog => {
  const { clock, linesPerSecond } = options;
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let dropped = 0;
  destination.on("drop", () => {
    dropped += 1;
  });
  const logger: PinoLogger = pino(
    {
      level: options.level,
      base: options.base,
      timestamp: () =>
        `,"at":${Math.round(clock.monotonic())},"time":${Math.round(clock.now())}`,
      messageKey: "event",
    },
    destination,
  );
  let windowStart: number = clock.monotonic();
  let written = 0;
  let omitted = 0;
  let isFlushPending = false;

  const scheduleFlush = () => {
    if (isFlushPending) return;
    isFlushPending = true;
    clock.setTimer(FLUSH_INTERVAL_MS, () => {
      isFlushPending = false;
      destination.flush();
    });
  };
  const resetOmitted = () => {
    const count = omitted + dropped;
    omitted = 0;
    dropped = 0;
    return count > 0 ? { linesLeftOut: count } : {};
  };
  const mayWrite = () => {
    const now = clock.monotonic();
    if (now - windowStart >= SECOND_MS) {
      windowStart = now;
      written = 0;
    }
    written += 1;
    return written <= linesPerSecond;
  };

  return {
    writeDecision: (event, fields) => {
      if (!mayWrite()) {
        omitted += 1;
        return;
      }
      logger.info({ ...fields, ...resetOmitted() }, event);
      scheduleFlush();
    },
    writeNotice: (event, fields) => {
      logger.info(fields, event);
      scheduleFlush();
    },
    writeWarning: (event, fields) => {
      logger.warn(fields, event);
      scheduleFlush();
    },
    flush: () => {
      try {
        destination.flushSync();
      } catch {
        // NOTE: the reader of standard output is gone or slow; there is no other place to report this.
      }
    },
  };
};
