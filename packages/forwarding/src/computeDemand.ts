/** What a request needs of a server, by what its client declares. Pure. */
import type { RegionName } from "@stairgauge/common";
import type { Demand } from "@stairgauge/placement";
import type { Route, WorkspaceSpec } from "@stairgauge/routing";
import { mayRepeat } from "./decideNext.js";
import type { AdmittedRequest } from "./forwarderTypes.js";

/** Tokens of an event when the configuration does not say; from the users' sites. */
export const TOKENS_PER_EVENT = 4;

/** Tokens expected of a generation whose client gives no guess: a short answer. */
const DEFAULT_EXPECTED_TOKENS = 64;

/** What a rank follows from. */
export type RankedRequest = Readonly<{
  workspace?: Pick<WorkspaceSpec, "tier"> | undefined;
  route: Pick<Route, "tier">;
}>;

/** Regions that both lists allow; all where neither is given. */
const computeRegions = (
  { regions: ofRoute }: Pick<Route, "regions">,
  ofWorkspace: readonly RegionName[] | undefined,
): readonly RegionName[] | undefined => {
  if (!ofRoute || !ofWorkspace) return ofRoute ?? ofWorkspace;
  return ofRoute.filter((region) => ofWorkspace.includes(region));
};

/** Rank of a request, 0 first: its workspace's goes before its route's. */
export const computeTier = ({ workspace, route }: RankedRequest): number =>
  workspace?.tier ?? route.tier;

/** Computes the demand; only a generation with declared tokens needs memory. */
export const computeDemand = ({
  head,
  route,
  workspace,
}: Pick<AdmittedRequest, "head" | "route"> &
  Partial<Pick<AdmittedRequest, "workspace">>): Demand => {
  const regions = computeRegions(route, workspace?.regions);
  const tier = computeTier({ workspace, route });
  if (route.kind !== "stream" || !head.usage) return { tier, regions, tokens: undefined };
  const { prompt, mostOut } = head.usage;
  const guess = head.lengthGuess ?? DEFAULT_EXPECTED_TOKENS;
  return {
    tier,
    regions,
    tokens: {
      prompt,
      expectedOut: Math.min(guess, mostOut || guess),
      isMovable: !mayRepeat(route),
    },
  };
};
