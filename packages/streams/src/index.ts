/** The state machine that relays an engine's stream to a caller and recovers from broken links; resume tokens. */
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
