/**
 * The guard of one call that may run once, as a pure state machine.
 *
 * Nothing is sent before the claim is confirmed by the answer to its write or by reading it back. The
 * write is repeated only with the same attempt id, so a write whose answer was lost counts as ours
 * when it is found. A claim without an end is never run again.
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

/** Writes of one claim whose answers may be lost before the call is given up. */
const MAX_CLAIM_WRITES = 4;

/** Reads of one claim that may fail before the call is given up. */
const MAX_CLAIM_READS = 4;

/** The guard of one call. */
export type OnceCall = Readonly<{
  /** Applies an event at a wall time, milliseconds since 1970. */
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

/** Creates the guard of a call. `attempt` is unique to this call on this box. */
export const createOnceCall = (options: {
  readonly attempt: string;
  readonly contentHash: string;
  /** When this attempt will surely have been given up, milliseconds since 1970. */
  readonly expiresAt: number;
}): OnceCall => {
  const { attempt, contentHash, expiresAt } = options;
  let phase: Phase = "claiming";
  let writes = 0;
  let reads = 0;
  let mayStand = false;
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
    return mayStand ? [refusal, { kind: "releaseClaim" }] : [refusal];
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

  /** Decides by a claim that stands in the table. */
  const handleFound = (found: FoundClaim, now: number): readonly OnceAction[] => {
    const { claim } = found;
    if (claim.attempt === attempt) return send(found.revision);
    mayStand = false;
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
        mayStand = true;
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
