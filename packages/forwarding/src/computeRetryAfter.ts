/** When a client whose request has not run should retry. Pure. */
import type { Ms } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";

/**
 * Computes the retry delay from a placement decision: at least `pause`, and if no server accepts the
 * request now, at least the time until one is expected to.
 */
export const computeRetryAfter = (decision: PlacementDecision, pause: Ms): Ms => {
  const wait = decision.kind === "no_server" ? (decision.retryAfter ?? 0) : 0;
  return Math.max(wait, pause) as Ms;
};
