/** A request's first placement: at once, or when an engine has room for it. */
import type { Ms } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";
import type {
  AdmittedRequest,
  ForwardDecision,
  ForwarderDeps,
} from "./forwarderTypes.js";

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

const getMemoryAfter = (decision: PlacementDecision): number =>
  decision.kind === "placed" ? (decision.memoryAfter ?? 0) : 0;

/** Places the request, or lets it wait; the function returned takes it out of the waiting room. */
export const placeWithRoom = (
  { waitingRoom }: Pick<ForwarderDeps, "waitingRoom">,
  request: Pick<AdmittedRequest, "service" | "workspace" | "route" | "receivedAt">,
  { choose, place, tell }: PlacingSteps,
): (() => void) => {
  const { service, workspace, route, receivedAt } = request;
  const tier = workspace?.tier ?? route.tier;
  const decision = choose();
  const memoryAfter = getMemoryAfter(decision);
  const isGeneration = decision.kind === "placed" && decision.memoryAfter !== undefined;
  const hasAhead = isGeneration && waitingRoom.hasAhead(service, tier);
  if (memoryAfter <= FULL_MEMORY && !hasAhead) {
    place(decision);
    return () => undefined;
  }
  tell({ kind: "waits", memoryAfter, waiting: waitingRoom.count() });
  return waitingRoom.add({
    service,
    tier,
    until: (receivedAt + route.firstAnswerAim * WAIT_SHARE) as Ms,
    attempt: () => {
      const found = choose();
      const fits = getMemoryAfter(found) <= FULL_MEMORY;
      if (fits) place(found);
      return fits;
    },
    placeAnyway: () => place(choose()),
  });
};
