/** Claims: what shows that a call which may run once has been taken, and by which attempt. */
import type { Outcome } from "./types.js";

/** An answer kept so that a repeat gets the same. `body` is base64. */
export type KeptAnswer = Readonly<{
  status: number;
  headers: Readonly<Record<string, string | readonly string[]>>;
  body: string;
}>;

/** How far a claimed call has come. */
export type ClaimState = Readonly<
  /** Taken; the call may be running. */
  | { kind: "claimed" }
  /** Ran; the answer is kept unless it was too large. */
  | { kind: "ran"; answer: KeptAnswer | undefined }
  /** It surely did not run; the key may be claimed again. */
  | { kind: "not_run" }
  /** Whether it ran will never be known; it is not run again. */
  | { kind: "unknown" }
>;

/** A claim as the table service keeps it. */
export type Claim = Readonly<{
  /** Id of the attempt that holds the claim; tells a lost answer of its own write. */
  attempt: string;
  /** Identity of the call's content: another content under the same key is refused. */
  contentHash: string;
  /** Wall time after which the attempt has surely been given up, milliseconds since 1970. */
  expiresAt: number;
  state: ClaimState;
}>;

/** A claim and the revision that a compare-and-set names. */
export type FoundClaim = Readonly<{ claim: Claim; revision: number }>;

/** What happened around a call that may run once. */
export type OnceEvent = Readonly<
  | { kind: "started" }
  | { kind: "claimWritten"; revision: number }
  | { kind: "claimConflict"; found: FoundClaim | undefined }
  | { kind: "claimAnswerLost" }
  | { kind: "claimRead"; found: FoundClaim | undefined }
  | { kind: "readFailed" }
  | { kind: "storeUnavailable" }
  /** The call was answered whole. */
  | { kind: "answered"; answer: KeptAnswer | undefined }
  /** The call ended without a whole answer. */
  | { kind: "callFailed"; outcome: Outcome }
>;

/** Why a call that may run once was not run now. */
export type OnceRefusal =
  /** The store cannot be reached, so nothing was sent. */
  | "store_unavailable"
  /** The key was used with another content. */
  | "key_reused"
  /** Another attempt holds the claim and has said nothing yet. */
  | "in_progress"
  /** An earlier attempt may have run; it is not run again. */
  | "outcome_unknown"
  /** An earlier attempt ran; its answer was too large to keep. */
  | "already_ran";

/** What the guard asks its shell to do. */
export type OnceAction = Readonly<
  /** Write the claim, if `expectedRevision` (no row where undefined) still stands. */
  | { kind: "writeClaim"; claim: Claim; expectedRevision: number | undefined }
  | { kind: "readClaim" }
  /** The claim is confirmed: send the call, once. */
  | { kind: "send" }
  | { kind: "refuse"; reason: OnceRefusal; outcome: Outcome }
  | { kind: "replay"; answer: KeptAnswer }
  /** The call was refused while its claim may stand: mark it not run, best effort. */
  | { kind: "releaseClaim" }
  /** Record how the call ended; best effort. */
  | { kind: "writeEnd"; claim: Claim; expectedRevision: number }
>;
