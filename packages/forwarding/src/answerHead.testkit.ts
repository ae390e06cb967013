/** A server's answer head as tests need one. */
import { NO_SIGNALS } from "@stairgauge/signals";
import type { AnswerHead } from "./types.js";

/** Makes the head of a sound answer with a length, with the changes given. */
export const makeAnswerHead = (changes: Partial<AnswerHead> = {}): AnswerHead => ({
  status: 200,
  requestId: undefined,
  isSigned: true,
  isNotRun: false,
  isOtherServer: false,
  server: undefined,
  startedAt: undefined,
  signs: NO_SIGNALS,
  isEncoded: false,
  contentLength: 2,
  isUnframed: false,
  isEventStream: false,
  passedOn: [],
  ...changes,
});
