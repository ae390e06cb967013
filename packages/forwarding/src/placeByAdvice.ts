/**
 * A generation's placement at a site of many boxes, where each sees hardly anything of what the others place: a box that hears of
 * all placements says where it goes, and keeps it waiting while every engine is full, so that all boxes' requests wait in
 * one order. Without its advice in time this box decides by what it knows itself.
 */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { Demand, PlacementDecision, PlaceUrgency } from "@stairgauge/placement";
import type { ForwarderDeps } from "./forwarderTypes.js";
import { placeWithRoom, type PlacingSteps, type PlacingTerms } from "./placeWithRoom.js";
import type { ClientRequestId } from "./types.js";

/** What is asked. */
export type AdviceRequest = Readonly<{
  id: ClientRequestId;
  service: ServiceName;
  tier: number;
  tokens: NonNullable<Demand["tokens"]>;
  regions?: Demand["regions"];
  except: ReadonlySet<ServerId>;
  /** What the one who is asked does while every engine is full. */
  urgency: PlaceUrgency;
}>;

/** What is answered. */
export type Advice = Readonly<
  | { kind: "decided"; decision: PlacementDecision; by: string }
  | { kind: "no_room"; memoryAfter: number }
>;

/** Who is asked. */
export type PlacementAdvisor = Readonly<{
  /** Whether another box sees more than this one. */
  isNeeded: () => boolean;
  /** Undefined when no advice came in time. */
  ask: (request: AdviceRequest, signal: AbortSignal) => Promise<Advice | undefined>;
}>;

/** A request to be placed. */
export type PlaceableRequest = Readonly<{
  id: ClientRequestId | undefined;
  demand: Demand;
  terms: PlacingTerms;
  except: ReadonlySet<ServerId>;
}>;

/** What happens with a placement; `by` names the box that made it, if another did. */
export type AdvisedSteps = Omit<PlacingSteps, "place"> &
  Readonly<{ place: (decision: PlacementDecision, by?: string) => void }>;

type Deps = Pick<ForwarderDeps, "clock" | "adviser" | "waitingRoom">;

const buildAdviceRequest = (
  request: PlaceableRequest,
): Omit<AdviceRequest, "urgency"> | undefined => {
  const { id, demand, terms, except } = request;
  const { tokens, regions } = demand;
  if (id === undefined || tokens === undefined) return undefined;
  const { service, tier } = terms;
  return { id, service, tier, tokens, regions, except };
};

/** Places a request for the first time; the function returned takes it back while it waits. */
export const placeByAdvice = (
  deps: Deps,
  request: PlaceableRequest,
  steps: AdvisedSteps,
): (() => void) => {
  const { clock, adviser, waitingRoom } = deps;
  const { terms } = request;
  const placeHere = () => placeWithRoom({ waitingRoom }, terms, steps);
  const asked = buildAdviceRequest(request);
  if (!asked || !adviser.isNeeded()) return placeHere();

  const call = new AbortController();
  let leave = () => call.abort();
  const askWhenFull = (memoryAfter: number) => {
    steps.tell({ kind: "waits", memoryAfter, waiting: undefined });
    const wait = Math.max(0, terms.until - clock.monotonic()) as Ms;
    return adviser.ask({ ...asked, urgency: { kind: "within", wait } }, call.signal);
  };
  const askForPlace = async () => {
    const first = await adviser.ask(
      { ...asked, urgency: { kind: "if_room" } },
      call.signal,
    );
    if (first?.kind !== "no_room" || call.signal.aborted) return first;
    return askWhenFull(first.memoryAfter);
  };
  void askForPlace().then((advice) => {
    if (call.signal.aborted) return;
    if (advice?.kind === "decided") steps.place(advice.decision, advice.by);
    else leave = placeHere();
  });
  return () => leave();
};

/** Places a request anew, after a server that did not bring it to an end: at once, wherever there is least to wait. */
export const placeAgain = (
  { adviser }: Pick<Deps, "adviser">,
  request: PlaceableRequest,
  { choose, place }: Omit<AdvisedSteps, "tell">,
): (() => void) => {
  const asked = buildAdviceRequest(request);
  if (!asked || !adviser.isNeeded()) {
    place(choose());
    return () => undefined;
  }
  const call = new AbortController();
  const urgency = { kind: "at_once" } as const;
  void adviser.ask({ ...asked, urgency }, call.signal).then((advice) => {
    if (call.signal.aborted) return;
    if (advice?.kind === "decided") place(advice.decision, advice.by);
    else place(choose());
  });
  return () => call.abort();
};
