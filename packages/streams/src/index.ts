/** The relay's state: which token is next, from which generation, and what to do when a link breaks. */
export type {
  DropReason,
  EndReason,
  EngineFrame,
  LinkMode,
  SessionAction,
  SessionEvent,
  StreamEnd,
  StreamFailure,
} from "./types.js";
export { createStreamSession } from "./streamSession.js";
export type { Continuation, SessionOptions, StreamSession } from "./streamSession.js";
export { formatResumeToken, signResumeClaim, verifyResumeToken } from "./resumeToken.js";
export type { ResumeClaim, ResumeKey, ResumeTokenFailure } from "./resumeToken.js";
