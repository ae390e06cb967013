/** When a client whose request has not run should come back. Pure. */
import type { Ms } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";

/** Works it out from where the request could go now: where no server takes it, no sooner than one is expected to; at least `pause`. */
export const computeRetryAfter = (decision: PlacementDecision, pause: Ms): Ms => {
  const wait = decision.kind === "no_server" ? (decision.retryAfter ?? 0) : 0;
  return Math.max(wait, pause) as Ms;
};
