/** Why no server takes a request. Pure. */
import type { NoServerReason } from "@stairgauge/placement";

/** Returns why none of a service's servers was a candidate. */
export const explainNoServer = (
  candidates: Readonly<{
    ready: number;
    untried: number;
    connectable: number;
    warm: number;
    available: number;
  }>,
  known: Readonly<{ staying: number; inRegions: number; bound: number }>,
): NoServerReason => {
  if (candidates.available > 0) return "servers_limited";
  if (candidates.warm > 0) return "servers_resting";
  if (candidates.connectable > 0) return "servers_cold";
  if (candidates.untried > 0) return "connections_used";
  if (candidates.ready > 0) return "none_left";
  if (known.bound > 0) return "halls_closed";
  if (known.inRegions > 0) return "none_of_version";
  return known.staying > 0 ? "none_in_regions" : "none_known";
};
