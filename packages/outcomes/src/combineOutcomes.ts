/** The algebra of outcomes over one or more attempts of the same call. */
import { assertNever } from "@stairgauge/common";
import type { LinkFailure, Outcome } from "./types.js";

const WEIGHT = { not_run: 0, unknown: 1, ran: 2 } as const satisfies Record<
  Outcome,
  number
>;

/**
 * Combines the outcomes of all attempts of one call: a run that is known wins, then doubt;
 * "not run" needs every attempt to be "not run". No attempt at all is "not run".
 */
export const combineOutcomes = (outcomes: readonly Outcome[]): Outcome =>
  outcomes.reduce<Outcome>(
    (worst, next) => (WEIGHT[next] > WEIGHT[worst] ? next : worst),
    "not_run",
  );

/** Derives what a failed attempt allows to be said; doubt unless the failure excludes a run. */
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
