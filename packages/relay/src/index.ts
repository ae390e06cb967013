/** The relay's shell: runs generations between callers' sinks and engines. */
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
