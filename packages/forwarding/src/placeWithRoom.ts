/** A request's first placement: at once, or when an engine has room for it. */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";
import type { Route, WorkspaceSpec } from "@stairgauge/routing";
import { computeTier } from "./computeDemand.js";
import type {
  AdmittedRequest,
  ForwardDecision,
  ForwarderDeps,
} from "./forwarderTypes.js";
import type { WaitQueue } from "./waitQueue.js";

/** Share of an engine's memory that may be spoken for, outputs to come included, before newcomers wait. */
const FULL_MEMORY = 0.95;

/** Share of the time to the first answer that a request may wait for room: the rest is for its prompt. */
const WAIT_SHARE = 0.4;

/** What the one who places does. */
export type PlacingSteps = Readonly<{
  choose: () => PlacementDecision;
  /** Sends the request by a choice, or answers it when there is no server. */
  place: (decision: PlacementDecision) => void;
  tell: (decision: ForwardDecision) => void;
}>;

/** On what terms a generation is placed. */
export type PlacingTerms = Readonly<{
  service: ServiceName;
  /** Rank, 0 first. */
  tier: number;
  /** Time at which it is placed wherever there is least to wait. */
  until: Ms;
}>;

/** What the terms follow from. */
export type TermsInputs = Pick<AdmittedRequest, "service" | "receivedAt"> &
  Readonly<{
    workspace: Pick<WorkspaceSpec, "tier"> | undefined;
    route: Pick<Route, "tier" | "firstAnswerAim">;
  }>;

/** Derives the terms of a request. */
export const computePlacingTerms = ({
  service,
  workspace,
  route,
  receivedAt,
}: TermsInputs): PlacingTerms => ({
  service,
  tier: computeTier({ workspace, route }),
  until: (receivedAt + route.firstAnswerAim * WAIT_SHARE) as Ms,
});

/** Whether waiting helps: an engine has room soon, or a cold server may get more. */
const mayPlace = (decision: PlacementDecision): boolean =>
  decision.kind === "placed"
    ? getMemoryAfter(decision) <= FULL_MEMORY
    : decision.reason !== "servers_cold";

const getMemoryAfter = (decision: PlacementDecision): number =>
  decision.kind === "placed" ? (decision.memoryAfter ?? 0) : 0;

/** Whether a request may go where a choice says, or has to wait. */
export const hasRoomFor = (
  waitingRoom: WaitQueue,
  { service, tier }: Pick<PlacingTerms, "service" | "tier">,
  decision: PlacementDecision,
): boolean => {
  const isGeneration = decision.kind === "placed" && decision.memoryAfter !== undefined;
  const hasAhead = isGeneration && waitingRoom.hasAhead(service, tier);
  return mayPlace(decision) && !hasAhead;
};

/** Places the request, or lets it wait; the function returned takes it out of the waiting room. */
export const placeWithRoom = (
  { waitingRoom }: Pick<ForwarderDeps, "waitingRoom">,
  terms: PlacingTerms,
  { choose, place, tell }: PlacingSteps,
): (() => void) => {
  const decision = choose();
  if (hasRoomFor(waitingRoom, terms, decision)) {
    place(decision);
    return () => undefined;
  }
  const memoryAfter = getMemoryAfter(decision);
  tell({ kind: "waits", memoryAfter, waiting: waitingRoom.count() });
  return waitingRoom.add({
    ...terms,
    attempt: () => {
      const found = choose();
      const fits = mayPlace(found);
      if (fits) place(found);
      return fits;
    },
    placeAnyway: () => place(choose()),
  });
};
