/**
 * State machine of one at-most-once call, without I/O.
 *
 * The call is sent only after its claim is confirmed, by the answer to the write or by reading the
 * claim back. Every repeated write carries the same attempt id, so a claim that is found with this id
 * is this attempt's own, even if the answer to the write was lost. A call whose claim shows no end is
 * never sent again.
 */
import { assertNever } from "@stairgauge/common";
import type {
  Claim,
  ClaimState,
  FoundClaim,
  OnceAction,
  OnceEvent,
  OnceRefusal,
} from "./claimTypes.js";
import type { Outcome } from "./types.js";

/** Max writes of one claim before the call is refused. */
const MAX_CLAIM_WRITES = 4;

/** Max reads of one claim before the call is refused. */
const MAX_CLAIM_READS = 4;

/** State machine of one at-most-once call. */
export type OnceCall = Readonly<{
  /** Applies an event and returns what to do next. `now` is wall time, milliseconds since 1970. */
  handle: (event: OnceEvent, now: number) => readonly OnceAction[];
}>;

type Phase = "claiming" | "sent" | "over";

const NO_ACTIONS: readonly OnceAction[] = [];

const REFUSAL_OUTCOMES = {
  store_unavailable: "not_run",
  key_reused: "not_run",
  in_progress: "unknown",
  outcome_unknown: "unknown",
  already_ran: "ran",
} as const satisfies Record<OnceRefusal, Outcome>;

/** Creates the state machine of one call. */
export const createOnceCall = (options: {
  /** Id of this attempt; every call on every box has its own. */
  readonly attempt: string;
  readonly contentHash: string;
  /** Wall time from which this attempt has certainly been given up, milliseconds since 1970. */
  readonly expiresAt: number;
}): OnceCall => {
  const { attempt, contentHash, expiresAt } = options;
  let phase: Phase = "claiming";
  let writes = 0;
  let reads = 0;
  /** Whether a write of this attempt may have been stored although its answer was lost. */
  let mayHoldClaim = false;
  let revision = 0;
  let expectedRevision: number | undefined;

  const buildClaim = (state: ClaimState): Claim => ({
    attempt,
    contentHash,
    expiresAt,
    state,
  });

  const writeClaim = (): readonly OnceAction[] => {
    if (writes >= MAX_CLAIM_WRITES) return refuse("store_unavailable");
    writes += 1;
    return [
      { kind: "writeClaim", claim: buildClaim({ kind: "claimed" }), expectedRevision },
    ];
  };

  const refuse = (reason: OnceRefusal): readonly OnceAction[] => {
    phase = "over";
    const refusal: OnceAction = {
      kind: "refuse",
      reason,
      outcome: REFUSAL_OUTCOMES[reason],
    };
    return mayHoldClaim ? [refusal, { kind: "releaseClaim" }] : [refusal];
  };

  const readClaim = (): readonly OnceAction[] => {
    if (reads >= MAX_CLAIM_READS) return refuse("store_unavailable");
    reads += 1;
    return [{ kind: "readClaim" }];
  };

  const send = (confirmedRevision: number): readonly OnceAction[] => {
    phase = "sent";
    revision = confirmedRevision;
    return [{ kind: "send" }];
  };

  const replay = (state: Extract<ClaimState, { kind: "ran" }>): readonly OnceAction[] => {
    if (!state.answer) return refuse("already_ran");
    phase = "over";
    return [{ kind: "replay", answer: state.answer }];
  };

  /** Decides what to do about a claim that is already stored. */
  const handleFound = (found: FoundClaim, now: number): readonly OnceAction[] => {
    const { claim } = found;
    if (claim.attempt === attempt) return send(found.revision);
    mayHoldClaim = false;
    if (claim.contentHash !== contentHash) return refuse("key_reused");
    switch (claim.state.kind) {
      case "ran":
        return replay(claim.state);
      case "not_run":
        expectedRevision = found.revision;
        return writeClaim();
      case "unknown":
        return refuse("outcome_unknown");
      case "claimed":
        return refuse(now < claim.expiresAt ? "in_progress" : "outcome_unknown");
      default:
        return assertNever(claim.state);
    }
  };

  const recordEnd = (state: ClaimState): readonly OnceAction[] => {
    phase = "over";
    return [{ kind: "writeEnd", claim: buildClaim(state), expectedRevision: revision }];
  };

  const handleFailure = (outcome: Outcome): readonly OnceAction[] =>
    recordEnd({ kind: outcome === "not_run" ? "not_run" : "unknown" });

  const handleClaiming = (event: OnceEvent, now: number): readonly OnceAction[] => {
    switch (event.kind) {
      case "started":
        return writeClaim();
      case "claimWritten":
        return send(event.revision);
      case "claimConflict":
      case "claimRead":
        return event.found ? handleFound(event.found, now) : writeClaim();
      case "claimAnswerLost":
        mayHoldClaim = true;
        return readClaim();
      case "readFailed":
        return readClaim();
      case "storeUnavailable":
        return refuse("store_unavailable");
      case "answered":
      case "callFailed":
        return NO_ACTIONS;
      default:
        return assertNever(event);
    }
  };

  return {
    handle: (event, now) => {
      if (phase === "claiming") return handleClaiming(event, now);
      if (phase === "over") return NO_ACTIONS;
      if (event.kind === "answered")
        return recordEnd({ kind: "ran", answer: event.answer });
      return event.kind === "callFailed" ? handleFailure(event.outcome) : NO_ACTIONS;
    },
  };
};
