/** Answer heads for tests. */
import { NO_SIGNALS } from "@stairgauge/signals";
import type { AnswerHead } from "./types.js";

/** Creates the head of a valid answer with a length, with the given changes. */
export const makeAnswerHead = (changes: Partial<AnswerHead> = {}): AnswerHead => ({
  status: 200,
  requestId: undefined,
  isSigned: true,
  isNotRun: false,
  isOtherServer: false,
  server: undefined,
  startedAt: undefined,
  signals: NO_SIGNALS,
  isEncoded: false,
  contentLength: 2,
  isUnframed: false,
  isEventStream: false,
  forwardedHeaders: [],
  ...changes,
});
