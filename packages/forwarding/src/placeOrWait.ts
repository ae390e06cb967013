/** First placement of a request: at once, or as soon as an engine has capacity for it. */
import type { AdmissionQueue } from "@stairgauge/admission";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";
import type { Route, WorkspaceSpec } from "@stairgauge/routing";
import { computeTier, estimateOutput } from "./computeDemand.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { ForwardDecision } from "./forwardDecision.js";
import { hashKey } from "./hashKey.js";
import type { RequestHead } from "./types.js";

/** Share of an engine's memory that may be reserved, including expected outputs, before new requests wait. */
const FULL_MEMORY = 0.95;

/**
 * Share of the target time to the first answer that a request may spend waiting for capacity. The
 * remaining time is for processing its prompt.
 */
const WAIT_SHARE = 0.4;

/** The part of the queue that generations use. */
export type GenerationQueue = Pick<
  AdmissionQueue,
  "add" | "hasAhead" | "count" | "recordPlaced"
>;

/** Callbacks of a placement. */
export type PlacingSteps = Readonly<{
  choose: () => PlacementDecision;
  /** Sends the request to the chosen server, or answers it if there is none. */
  place: (decision: PlacementDecision) => void;
  report: (decision: ForwardDecision) => void;
  /** Ends the request, whose placement threw later than its caller returned. */
  fail: (error: unknown) => void;
}>;

/** Conditions of a placement. */
export type PlacingTerms = Readonly<{
  service: ServiceName;
  /** Priority, 0 is the highest. */
  tier: number;
  /** Time at which the request is placed even if every engine is full. */
  until: Ms;
  /** Who shares the engines; undefined if not known, then only arrival orders the request. */
  share?: GenerationShare | undefined;
}>;

/** The workspace and subject that a generation is charged to, and its tokens. */
export type GenerationShare = Readonly<{
  workspace: string;
  subject: string;
  cost: number;
}>;

/** Inputs of `computePlacingTerms`. */
export type TermsInputs = Pick<AdmittedRequest, "service" | "receivedAt"> &
  Readonly<{
    workspace: (Pick<WorkspaceSpec, "tier"> & Partial<WorkspaceSpec>) | undefined;
    route: Pick<Route, "tier" | "firstAnswerAim">;
    head?: Pick<RequestHead, "key" | "usage" | "lengthEstimate">;
  }>;

/** Shares engines by prompt and expected output tokens; a request without these is charged nothing. */
const computeShare = ({
  workspace,
  head,
}: Pick<TermsInputs, "workspace" | "head">): GenerationShare => ({
  workspace: workspace?.name ?? "",
  subject: head?.key === undefined ? "" : hashKey(head.key),
  cost: head?.usage
    ? head.usage.prompt + estimateOutput(head.usage, head.lengthEstimate)
    : 0,
});

/** Computes the terms of a request. */
export const computePlacingTerms = ({
  service,
  workspace,
  route,
  receivedAt,
  head,
}: TermsInputs): PlacingTerms => ({
  service,
  tier: computeTier({ workspace, route }),
  until: (receivedAt + route.firstAnswerAim * WAIT_SHARE) as Ms,
  share: computeShare({ workspace, head }),
});

/**
 * Whether to act on the decision now. Waiting helps only if the chosen engine is full, or if cold
 * servers have reached the request rate allowed during warm-up.
 */
const mayPlace = (decision: PlacementDecision): boolean =>
  decision.kind === "placed"
    ? getMemoryAfter(decision) <= FULL_MEMORY
    : decision.reason !== "servers_cold";

const getMemoryAfter = (decision: PlacementDecision): number =>
  decision.kind === "placed" ? (decision.memoryAfter ?? 0) : 0;

const isGeneration = (decision: PlacementDecision): boolean =>
  decision.kind === "placed" && decision.memoryAfter !== undefined;

/** Whether a request may be placed as decided; otherwise it has to wait. */
export const hasCapacityFor = (
  waitQueue: Pick<GenerationQueue, "hasAhead">,
  { service, tier }: Pick<PlacingTerms, "service" | "tier">,
  decision: PlacementDecision,
): boolean => {
  const hasAhead = isGeneration(decision) && waitQueue.hasAhead(service, tier);
  return mayPlace(decision) && !hasAhead;
};

const NO_SHARE: GenerationShare = { workspace: "", subject: "", cost: 0 };

/** Places the request or queues it; the returned function removes it from the queue. */
export const placeOrWait = (
  { waitQueue }: Readonly<{ waitQueue: GenerationQueue }>,
  terms: PlacingTerms,
  { choose, place, report, fail }: PlacingSteps,
): (() => void) => {
  const { share = NO_SHARE, until, ...sharer } = terms;
  const decision = choose();
  if (hasCapacityFor(waitQueue, terms, decision)) {
    if (isGeneration(decision)) waitQueue.recordPlaced({ ...sharer, ...share });
    place(decision);
    return () => undefined;
  }
  /** A request that stayed in the queue would hold up all behind it. */
  const failIfThrown = (attempt: () => boolean): boolean => {
    try {
      return attempt();
    } catch (error) {
      fail(error);
      return true;
    }
  };
  const attemptNow = () => {
    const found = choose();
    const fits = mayPlace(found);
    if (fits) place(found);
    return fits;
  };
  const memoryAfter = getMemoryAfter(decision);
  report({ kind: "waits", memoryAfter, waiting: waitQueue.count() });
  return waitQueue.add({
    kind: "generation",
    ...sharer,
    ...share,
    until,
    attempt: () => failIfThrown(attemptNow),
    placeAnyway: () =>
      failIfThrown(() => {
        place(choose());
        return true;
      }),
  });
};
