/**
 * A hub's advice to other boxes: on which engine to place a run, by the placements of all boxes,
 * and when, while every engine is full.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import {
  hasCapacityFor,
  placeOrWait,
  type GenerationQueue,
} from "@stairgauge/forwarding";
import type {
  CapacityRefusal,
  Demand,
  LoadRegistry,
  PlacementDecision,
  PlaceQuestion,
  PlaceSharer,
} from "@stairgauge/placement";
import type { FleetPlacer } from "./createPlacer.js";
import type { PlainHub } from "./plainHub.js";

/** The advice given: a decision, or that no engine has free capacity (`no_room`). */
export type GivenAdvice =
  | PlacementDecision
  | Readonly<{ kind: "no_room"; memoryAfter: number }>
  /** A plain request gets no slot in time. */
  | Readonly<{ kind: "refused"; reason: CapacityRefusal; retryAfter: Ms }>;

/** Dependencies of the hub. */
export type PlaceHubOptions = Readonly<{
  clock: Clock;
  registry: LoadRegistry;
  placer: Pick<FleetPlacer, "chooseForOther" | "recordArrival" | "recordSend">;
  waitQueue: GenerationQueue;
  /** Answers questions about plain requests. */
  plain?: PlainHub | undefined;
}>;

/** Answers questions of other boxes. */
export type PlaceHub = Readonly<{
  /** Answers a question. The signal is aborted when the asking box no longer waits. */
  answer: (question: PlaceQuestion, signal: AbortSignal) => Promise<GivenAdvice>;
}>;

/**
 * How long a given place is reserved until the box confirms that it uses it, which normally takes a
 * few milliseconds.
 */
const CONFIRM_MS = 500 as Ms;

/** Questions of older boxes name no sharer: they are charged as one workspace. */
const UNKNOWN_SHARER: PlaceSharer = { workspace: "", subject: "" };

/** Creates the hub. */
export const createPlaceHub = (options: PlaceHubOptions): PlaceHub => {
  const { clock, registry, placer, waitQueue } = options;

  /**
   * Records the run as the box itself would report it, so that it counts for the next question. The
   * box's own report then replaces this record.
   */
  const reservePlace = (
    { box, run: askedRun, tier }: PlaceQuestion,
    at: BackendServer,
  ) => {
    const run = { ...askedRun };
    const server = at.entry.id;
    placer.recordSend(at, tier);
    registry.putPeerRun(box, { server, run });
    clock.setTimer(CONFIRM_MS, () => {
      if (registry.listPeerRuns(server).includes(run))
        registry.removePeerRun(box, server, run.id);
    });
  };

  const choose = ({
    service,
    run,
    tier,
    except,
    regions,
    binding,
  }: PlaceQuestion): PlacementDecision => {
    const { promptTokens, expectedOut, isMovable } = run;
    const tokens = { prompt: promptTokens, expectedOut, isMovable };
    const demand: Demand = { tier, regions, binding, tokens };
    return placer.chooseForOther(service, demand, new Set(except));
  };

  const placeFor = (question: PlaceQuestion, decision: PlacementDecision) => {
    if (decision.kind === "placed") reservePlace(question, decision.server);
    return decision;
  };

  const computeShare = ({ run, sharer = UNKNOWN_SHARER }: PlaceQuestion) => ({
    ...sharer,
    cost: run.promptTokens + run.expectedOut,
  });

  const waitForCapacity = (question: PlaceQuestion, wait: Ms, signal: AbortSignal) =>
    new Promise<GivenAdvice>((resolve, reject) => {
      const { service, tier } = question;
      const until = (clock.monotonic() + wait) as Ms;
      const cancelWait = placeOrWait(
        { waitQueue },
        { service, tier, until, share: computeShare(question) },
        {
          choose: () => choose(question),
          place: (decision) => resolve(placeFor(question, decision)),
          report: () => undefined,
          fail: reject,
        },
      );
      signal.addEventListener("abort", cancelWait, { once: true });
    });

  return {
    answer: async (question, signal) => {
      const { service, tier, urgency, admission } = question;
      if (admission && options.plain)
        return options.plain.answer({ ...question, admission }, signal);
      if (urgency.kind === "if_room") placer.recordArrival(service, tier);
      if (urgency.kind === "within")
        return waitForCapacity(question, urgency.wait, signal);
      const decision = choose(question);
      const isPlacedNow =
        urgency.kind === "at_once" || hasCapacityFor(waitQueue, question, decision);
      const share = computeShare(question);
      if (isPlacedNow && decision.kind === "placed")
        waitQueue.recordPlaced({ service, tier, ...share });
      if (isPlacedNow) return placeFor(question, decision);
      const memoryAfter = decision.kind === "placed" ? (decision.memoryAfter ?? 0) : 0;
      return { kind: "no_room", memoryAfter };
    },
  };
};
