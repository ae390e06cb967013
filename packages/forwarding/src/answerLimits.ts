/**
 * What the answer to a call may cost this box. A server in trouble may send bytes without end, so that whatever reaches no
 * client is bounded: what is read before a head and beside a body, what is held of a body, and how long it is awaited.
 */
import type { Ms } from "@stairgauge/common";
import { createByteCollector } from "./byteCollector.js";

const KB = 1024;

/**
 * Bytes beside the body: the head, which may have 64 KB, what comes before it (blank lines, informational answers), and
 * the framing of chunks.
 */
export const MAX_OVERHEAD_BYTES = 128 * KB;

/** Further bytes beside the body for each of its bytes; a chunk of one byte has five bytes of framing. */
const MAX_OVERHEAD_RATIO = 8;

/** Limits of the body of an answer that is not forwarded as it arrives. */
export type HeldBodyLimits = Readonly<{
  /** Largest body, in bytes. */
  maxBytes: number;
  /** Longest time from the head to the end of the body; undefined if the call itself has a time limit. */
  maxTime: Ms | undefined;
}>;

/** Limits by call. */
export const HELD_BODY_LIMITS = {
  /** A sound answer to a client's request; a longer one is forwarded as it arrives. The request itself has a time limit. */
  answer: { maxBytes: 512 * KB, maxTime: undefined },
  /** A failure that may be forwarded, as a whole: its client is told sooner of a failure than at its deadline. */
  failure: { maxBytes: 128 * KB, maxTime: 1_000 as Ms },
  /** The bytes of a stream since its last event, which are an event that has no end or comments. */
  streamGap: { maxBytes: 512 * KB, maxTime: undefined },
  /** A health check; the server's start is at the beginning. It waits at the server as long as the slowest requests take. */
  healthCheck: { maxBytes: 4 * KB, maxTime: 1_000 as Ms },
  /** A report or another answer of an engine to this box; a report lists the engine's runs. */
  engineCall: { maxBytes: 512 * KB, maxTime: undefined },
  /** Rows of the store: 1 MB a page, but a change of a whole table has no stated size. */
  storeCall: { maxBytes: 16 * 1024 * KB, maxTime: undefined },
} as const satisfies Readonly<Record<string, HeldBodyLimits>>;

/**
 * Bytes of one answer that don't count against the memory of all: what ordinary answers and events hold, for a moment. There
 * are no more answers than connections.
 */
export const UNCOUNTED_BYTES = 4 * KB;

/** Which limit an answer has exceeded. */
export type ExceededLimit =
  /** Bytes beside the body. */
  | "overhead"
  | "held_body"
  | "held_body_time"
  /** Bytes of a stream without an event. */
  | "stream_gap"
  /** Bytes of all answers that are held: this one has been held for longest. */
  | "held_memory";

/** An answer that has exceeded a limit, by `bytes` when it was found out. */
export type AnswerExcess = Readonly<{ limit: ExceededLimit; bytes: number }>;

/** Describes an excess, for log lines and failures. */
export const describeExcess = ({ limit, bytes }: AnswerExcess): string =>
  `answer over its limit: ${limit}, ${bytes} bytes`;

/** Counts the bytes of one answer as they arrive. */
export type OverheadMeter = Readonly<{
  addBody: (bytes: number) => void;
  /** Adds bytes of the connection, those of the body included; returns the excess, if there is one. */
  addReceived: (bytes: number) => AnswerExcess | undefined;
}>;

/** Creates the meter of an answer of which nothing has arrived. */
export const createOverheadMeter = (): OverheadMeter => {
  let received = 0;
  let body = 0;
  return {
    addBody: (bytes) => {
      body += bytes;
    },
    addReceived: (bytes) => {
      received += bytes;
      const overhead = received - body;
      const isOver = overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * body;
      return isOver ? { limit: "overhead", bytes: overhead } : undefined;
    },
  };
};

/** Holds a body up to a limit. */
export type HeldBody = Readonly<{
  /** Adds bytes; returns the excess, if there is one. */
  add: (chunk: Buffer) => AnswerExcess | undefined;
  getBytes: () => Buffer;
}>;

/** Creates an empty body. */
export const createHeldBody = ({
  maxBytes,
}: Pick<HeldBodyLimits, "maxBytes">): HeldBody => {
  const collector = createByteCollector();
  return {
    add: (chunk) => {
      const bytes = collector.getLength() + chunk.length;
      if (bytes > maxBytes) return { limit: "held_body", bytes };
      collector.append(chunk);
      return undefined;
    },
    getBytes: collector.join,
  };
};
