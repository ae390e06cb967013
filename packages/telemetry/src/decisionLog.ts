/** Structured lines on standard output, bounded a second, never blocking the loop. */
import { pino, type Logger as PinoLogger } from "pino";
import type { Clock, Ms } from "@stairgauge/common";
import type { LogLevel } from "./logger.js";

/** How decisions are written. */
export type DecisionLogOptions = Readonly<{
  level: LogLevel;
  clock: Clock;
  /** Lines a second; what comes beyond is counted and told with the next line. */
  linesPerSecond: number;
  base: Readonly<Record<string, string>>;
}>;

/** The log of a box. */
export type DecisionLog = Readonly<{
  /** A decision that touches a request or changes what the box believes. */
  writeDecision: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Start, stop, reload, and what is lost or regained; never left out. */
  writeNotice: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  writeWarning: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Hands buffered lines to the system; for the end of the process. */
  flush: () => void;
}>;

/** Bytes that may wait for a reader of the log; beyond them lines are lost and counted. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const SECOND_MS = 1000;
/**
 * Lines are written together, at most this long after they came: what a killed box had not written is lost, and with it
 * the cause of what its callers met.
 */
const FLUSH_INTERVAL_MS = 100 as Ms;
const WRITE_TOGETHER_BYTES = 4096;

/** Creates the log; it writes JSON lines. */
export const createDecisionLog = (options: DecisionLogOptions): DecisionLog => {
  const { clock, linesPerSecond } = options;
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_TOGETHER_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let lost = 0;
  destination.on("drop", () => {
    lost += 1;
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
  let leftOut = 0;
  let isFlushPending = false;

  const scheduleFlush = () => {
    if (isFlushPending) return;
    isFlushPending = true;
    clock.setTimer(FLUSH_INTERVAL_MS, () => {
      isFlushPending = false;
      destination.flush();
    });
  };
  const takeLeftOut = () => {
    const count = leftOut + lost;
    leftOut = 0;
    lost = 0;
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
        leftOut += 1;
        return;
      }
      logger.info({ ...fields, ...takeLeftOut() }, event);
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
        // NOTE: the reader of the log is gone or slow; there is nowhere left to say so.
      }
    },
  };
};
