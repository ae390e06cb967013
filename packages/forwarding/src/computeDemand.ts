/** Computes what a request needs at a server, from what its client declares. Pure. */
import type { RegionName } from "@stairgauge/common";
import type { Demand } from "@stairgauge/placement";
import type { Route, WorkspaceSpec } from "@stairgauge/routing";
import { mayRepeat } from "./mayRepeat.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { TokenUsage } from "./types.js";

/** Tokens per event of a stream, as measured at the operators' sites; the configuration does not state it. */
export const TOKENS_PER_EVENT = 4;

/** Expected output tokens if the client gives no estimate: a short answer. */
const DEFAULT_EXPECTED_TOKENS = 64;

/** Inputs of `computeTier`. */
export type RankedRequest = Readonly<{
  workspace?: Pick<WorkspaceSpec, "tier"> | undefined;
  route: Pick<Route, "tier">;
}>;

/** Regions allowed by both the route and the workspace; undefined (all) if neither restricts them. */
const computeRegions = (
  { regions: ofRoute }: Pick<Route, "regions">,
  ofWorkspace: readonly RegionName[] | undefined,
): readonly RegionName[] | undefined => {
  if (!ofRoute || !ofWorkspace) return ofRoute ?? ofWorkspace;
  return ofRoute.filter((region) => ofWorkspace.includes(region));
};

/** Priority of a request, 0 is the highest: its workspace's tier, else its route's. */
export const computeTier = ({ workspace, route }: RankedRequest): number =>
  workspace?.tier ?? route.tier;

/** Computes the expected output tokens of a generation. */
export const estimateOutput = (
  { maxOut }: Pick<TokenUsage, "maxOut">,
  guess = DEFAULT_EXPECTED_TOKENS,
): number => Math.min(guess, maxOut || guess);

/** Computes the demand; `tokens` is set only for a generation whose client declares its tokens. */
export const computeDemand = ({
  head,
  route,
  workspace,
  binding,
}: Pick<AdmittedRequest, "head" | "route"> &
  Partial<Pick<AdmittedRequest, "workspace" | "binding">>): Demand => {
  const shared = {
    tier: computeTier({ workspace, route }),
    regions: computeRegions(route, workspace?.regions),
    binding,
  };
  if (route.kind !== "stream" || !head.usage) return { ...shared, tokens: undefined };
  return {
    ...shared,
    tokens: {
      prompt: head.usage.prompt,
      expectedOut: estimateOutput(head.usage, head.lengthEstimate),
      isMovable: !mayRepeat(route),
    },
  };
};
