/**
 * Places generations at a site with many boxes, where a single box sees only a few of all placements.
 * The box asks a hub, a box that receives all placements. The hub chooses the server; while every
 * engine is full it queues the request, so that the requests of all boxes wait in one order. If the
 * hub does not answer in time, the box decides by its own data.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type {
  Demand,
  PlacementDecision,
  PlaceSharer,
  PlaceUrgency,
} from "@stairgauge/placement";
import {
  placeOrWait,
  type GenerationQueue,
  type PlacingSteps,
  type PlacingTerms,
} from "./placeOrWait.js";
import type { ClientRequestId } from "./types.js";

/** A request for advice. */
export type AdviceRequest = Readonly<{
  id: ClientRequestId;
  service: ServiceName;
  tier: number;
  tokens: NonNullable<Demand["tokens"]>;
  regions?: Demand["regions"];
  binding?: Demand["binding"];
  sharer?: PlaceSharer | undefined;
  except: ReadonlySet<ServerId>;
  /** What the hub does while every engine is full. */
  urgency: PlaceUrgency;
}>;

/** The hub's answer: a decision and the box that made it, or that every engine is full. */
export type Advice = Readonly<
  | { kind: "decided"; decision: PlacementDecision; by: string }
  | { kind: "no_room"; memoryAfter: number }
>;

/** Asks hubs for advice. */
export type PlacementAdvisor = Readonly<{
  /** Whether another box receives more placements than this one. */
  isNeeded: () => boolean;
  /** Resolves with undefined if no advice arrived in time. */
  ask: (request: AdviceRequest, signal: AbortSignal) => Promise<Advice | undefined>;
}>;

/** A request to be placed; servers in `except` are not chosen. */
export type PlaceableRequest = Readonly<{
  id: ClientRequestId | undefined;
  demand: Demand;
  terms: PlacingTerms;
  except: ReadonlySet<ServerId>;
}>;

/** Callbacks of a placement; `by` is the box that made the decision, undefined if this box did. */
export type AdvisedSteps = Omit<PlacingSteps, "place"> &
  Readonly<{ place: (decision: PlacementDecision, by?: string) => void }>;

type Deps = Readonly<{
  clock: Clock;
  advisor: PlacementAdvisor;
  waitQueue: GenerationQueue;
}>;

const buildAdviceRequest = (
  request: PlaceableRequest,
): Omit<AdviceRequest, "urgency"> | undefined => {
  const { id, demand, terms, except } = request;
  const { tokens, regions, binding } = demand;
  if (id === undefined || tokens === undefined) return undefined;
  const { service, tier, share } = terms;
  const sharer = share && { workspace: share.workspace, subject: share.subject };
  return { id, service, tier, tokens, regions, binding, sharer, except };
};

/** Awaits advice; a question that throws counts as one without an answer, since the box can decide by itself. */
export const awaitAdvice = async <T>(
  ask: (signal: AbortSignal) => Promise<T | undefined>,
  signal: AbortSignal,
  report: AdvisedSteps["report"],
): Promise<T | undefined> => {
  try {
    return await ask(signal);
  } catch (error) {
    if (!signal.aborted) report({ kind: "advice_failed", detail: String(error) });
    return undefined;
  }
};

/** Places a request for the first time; the returned function cancels the placement while it waits. */
export const placeByAdvice = (
  deps: Deps,
  request: PlaceableRequest,
  steps: AdvisedSteps,
): (() => void) => {
  const { clock, advisor, waitQueue } = deps;
  const { terms } = request;
  const placeHere = () => placeOrWait({ waitQueue }, terms, steps);
  const adviceRequest = buildAdviceRequest(request);
  if (!adviceRequest || !advisor.isNeeded()) return placeHere();

  const call = new AbortController();
  let leave = () => call.abort();
  const askWhenFull = (memoryAfter: number) => {
    steps.report({ kind: "waits", memoryAfter, waiting: undefined });
    const wait = Math.max(0, terms.until - clock.monotonic()) as Ms;
    return advisor.ask(
      { ...adviceRequest, urgency: { kind: "within", wait } },
      call.signal,
    );
  };
  const askForPlace = async () => {
    const first = await advisor.ask(
      { ...adviceRequest, urgency: { kind: "if_room" } },
      call.signal,
    );
    if (first?.kind !== "no_room" || call.signal.aborted) return first;
    return askWhenFull(first.memoryAfter);
  };
  void awaitAdvice(askForPlace, call.signal, steps.report)
    .then((advice) => {
      if (call.signal.aborted) return;
      if (advice?.kind === "decided") steps.place(advice.decision, advice.by);
      else leave = placeHere();
    })
    .catch(steps.fail);
  return () => leave();
};

/** Places a request again after a failed attempt: at once, even if every engine is full. */
export const placeAgain = (
  { advisor }: Pick<Deps, "advisor">,
  request: PlaceableRequest,
  { choose, place, report, fail }: AdvisedSteps,
): (() => void) => {
  const adviceRequest = buildAdviceRequest(request);
  if (!adviceRequest || !advisor.isNeeded()) {
    place(choose());
    return () => undefined;
  }
  const call = new AbortController();
  const urgency = { kind: "at_once" } as const;
  const askAtOnce = (signal: AbortSignal) =>
    advisor.ask({ ...adviceRequest, urgency }, signal);
  void awaitAdvice(askAtOnce, call.signal, report)
    .then((advice) => {
      if (call.signal.aborted) return;
      if (advice?.kind === "decided") place(advice.decision, advice.by);
      else place(choose());
    })
    .catch(fail);
  return () => call.abort();
};
