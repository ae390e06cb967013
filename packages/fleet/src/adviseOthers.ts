/** Advice of a hub to other boxes: where a run goes, by what all have placed, and when, while every engine is full. */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import { hasRoomFor, placeWithRoom, type WaitQueue } from "@stairgauge/forwarding";
import type {
  Demand,
  LoadRegistry,
  PlacementDecision,
  PlaceQuestion,
} from "@stairgauge/placement";
import type { FleetPlacer } from "./createPlacer.js";

/** What it is told. */
export type GivenAdvice =
  PlacementDecision | Readonly<{ kind: "no_room"; memoryAfter: number }>;

/** What advising needs. */
export type PlaceHubOptions = Readonly<{
  clock: Clock;
  book: LoadRegistry;
  placer: Pick<FleetPlacer, "chooseForOther" | "recordArrival" | "recordSend">;
  waitingRoom: WaitQueue;
}>;

/** Advises. */
export type PlaceHub = Readonly<{
  /** The asking box has left when the signal says so. */
  answer: (asked: PlaceQuestion, signal: AbortSignal) => Promise<GivenAdvice>;
}>;

/** A place that was given is kept this long for the box to say that it took it, a few ms later as a rule. */
const CONFIRM_MS = 500 as Ms;

/** Creates the adviser. */
export const createPlaceHub = (options: PlaceHubOptions): PlaceHub => {
  const { clock, book, placer, waitingRoom } = options;

  /** Notes the run as the box would tell it, so that the next who asks sees it; its own word then replaces this one. */
  const reservePlace = ({ box, run: told, tier }: PlaceQuestion, at: BackendServer) => {
    const run = { ...told };
    const server = at.entry.id;
    placer.recordSend(at, tier);
    book.putPeerRun(box, { server, run });
    clock.setTimer(CONFIRM_MS, () => {
      if (book.listPeerRuns(server).includes(run))
        book.removePeerRun(box, server, run.id);
    });
  };

  const choose = ({
    service,
    run,
    tier,
    except,
    regions,
  }: PlaceQuestion): PlacementDecision => {
    const { promptTokens, expectedOut, isMovable } = run;
    const tokens = { prompt: promptTokens, expectedOut, isMovable };
    const demand: Demand = { tier, regions, tokens };
    return placer.chooseForOther(service, demand, new Set(except));
  };

  const placeFor = (asked: PlaceQuestion, decision: PlacementDecision) => {
    if (decision.kind === "placed") reservePlace(asked, decision.server);
    return decision;
  };

  const awaitRoom = (asked: PlaceQuestion, wait: Ms, signal: AbortSignal) =>
    new Promise<GivenAdvice>((resolve) => {
      const { service, tier } = asked;
      const until = (clock.monotonic() + wait) as Ms;
      const leave = placeWithRoom(
        { waitingRoom },
        { service, tier, until },
        {
          choose: () => choose(asked),
          place: (decision) => resolve(placeFor(asked, decision)),
          tell: () => undefined,
        },
      );
      signal.addEventListener("abort", leave, { once: true });
    });

  return {
    answer: async (asked, signal) => {
      const { service, tier, urgency } = asked;
      if (urgency.kind === "if_room") placer.recordArrival(service, tier);
      if (urgency.kind === "within") return awaitRoom(asked, urgency.wait, signal);
      const decision = choose(asked);
      const isGiven =
        urgency.kind === "at_once" || hasRoomFor(waitingRoom, asked, decision);
      if (isGiven) return placeFor(asked, decision);
      const memoryAfter = decision.kind === "placed" ? (decision.memoryAfter ?? 0) : 0;
      return { kind: "no_room", memoryAfter };
    },
  };
};
