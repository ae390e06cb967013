/** Types of claims. A claim is a stored record that reserves an at-most-once call for one attempt. */
import type { Outcome } from "./types.js";

/** A stored answer, sent again when the caller repeats the call. `body` is base64. */
export type KeptAnswer = Readonly<{
  status: number;
  headers: Readonly<Record<string, string | readonly string[]>>;
  body: string;
}>;

/** Progress of a claimed call. */
export type ClaimState = Readonly<
  /** An attempt holds the claim; the call may be running. */
  | { kind: "claimed" }
  /** The call ran. `answer` is undefined when it was too large to store. */
  | { kind: "ran"; answer: KeptAnswer | undefined }
  /** The call certainly did not run; the key may be claimed again. */
  | { kind: "not_run" }
  /** Nothing shows whether the call ran, so it is never run again. */
  | { kind: "unknown" }
>;

/** A claim as it is stored in the platform's table service. */
export type Claim = Readonly<{
  /**
   * Id of the attempt that holds the claim. An attempt that reads back its own id has made the write
   * whose answer was lost.
   */
  attempt: string;
  /** Hash of the call's content. A call with the same key and other content is refused. */
  contentHash: string;
  /** Wall time from which the attempt has certainly been given up, milliseconds since 1970. */
  expiresAt: number;
  state: ClaimState;
}>;

/** A stored claim, and its revision for compare-and-set writes. */
export type FoundClaim = Readonly<{ claim: Claim; revision: number }>;

/** Input of the state machine of an at-most-once call. */
export type OnceEvent = Readonly<
  | { kind: "started" }
  | { kind: "claimWritten"; revision: number }
  | { kind: "claimConflict"; found: FoundClaim | undefined }
  | { kind: "claimAnswerLost" }
  | { kind: "claimRead"; found: FoundClaim | undefined }
  | { kind: "readFailed" }
  | { kind: "storeUnavailable" }
  /** The whole answer arrived. `answer` is undefined when it was too large to store. */
  | { kind: "answered"; answer: KeptAnswer | undefined }
  /** The call ended without a whole answer. */
  | { kind: "callFailed"; outcome: Outcome }
>;

/** Why an at-most-once call was not sent. */
export type OnceRefusal =
  /** The store cannot be reached, so nothing was sent. */
  | "store_unavailable"
  /** The key was used before with other content. */
  | "key_reused"
  /** Another attempt holds the claim and has not recorded its end. */
  | "in_progress"
  /** An earlier attempt may have run, so the call is not sent again. */
  | "outcome_unknown"
  /** An earlier attempt ran, and its answer was too large to store. */
  | "already_ran";

/** Output of the state machine: what its caller has to do next. */
export type OnceAction = Readonly<
  /** Write the claim if the row's revision is `expectedRevision`; undefined: if there is no row. */
  | { kind: "writeClaim"; claim: Claim; expectedRevision: number | undefined }
  | { kind: "readClaim" }
  /** The claim is confirmed: send the call, exactly once. */
  | { kind: "send" }
  | { kind: "refuse"; reason: OnceRefusal; outcome: Outcome }
  | { kind: "replay"; answer: KeptAnswer }
  /** The call was refused, but its claim may have been stored: mark it as not run, best effort. */
  | { kind: "releaseClaim" }
  /** Record how the call ended, best effort. */
  | { kind: "writeEnd"; claim: Claim; expectedRevision: number }
>;
