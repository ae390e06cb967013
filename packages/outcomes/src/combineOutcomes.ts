/** Derives the outcome of a call from the outcomes of its attempts. */
import { assertNever } from "@stairgauge/common";
import type { LinkFailure, Outcome } from "./types.js";

const WEIGHT = { not_run: 0, unknown: 1, ran: 2 } as const satisfies Record<
  Outcome,
  number
>;

/**
 * Combines the outcomes of all attempts of one call: `ran` takes precedence, then `unknown`. The
 * result is `not_run` only if every attempt is `not_run`, or if there is no attempt.
 */
export const combineOutcomes = (outcomes: readonly Outcome[]): Outcome =>
  outcomes.reduce<Outcome>(
    (combined, next) => (WEIGHT[next] > WEIGHT[combined] ? next : combined),
    "not_run",
  );

/** Outcome of a failed attempt: `unknown` unless the failure rules out that the server ran it. */
export const toOutcome = (failure: LinkFailure): Outcome => {
  switch (failure.kind) {
    case "connect_failed":
      return "not_run";
    case "refused":
      return failure.ranNothing ? "not_run" : "unknown";
    case "generation_gone":
    case "closed_early":
    case "silent":
    case "garbage":
    case "aborted":
      return "unknown";
    default:
      return assertNever(failure);
  }
};
