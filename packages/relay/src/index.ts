/** Runs generations on engines and passes their tokens to callers. */
export type {
  AnswerSink,
  GenerationCall,
  Refusal,
  RelayDeps,
  RunHandle,
  RunRequest,
  TokenSource,
} from "./types.js";
export { createRelay } from "./relay.js";
export type { Relay } from "./relay.js";
