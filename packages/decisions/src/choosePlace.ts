/** Chooses an engine for one request. */
import type { Ms, Random } from "@stairgauge/common";
import { MAX_EJECTED_SHARE, PLACEMENT_SAMPLE } from "./constants.js";
import type { EngineView, OwnStream } from "./engineView.js";
import type { Candidate, PlacementReason, WaitingReason } from "./types.js";

/** The engine chosen, or why none was. */
export type Choice = Readonly<
  | {
      kind: "chosen";
      view: EngineView;
      reason: PlacementReason;
      considered: readonly Candidate[];
    }
  | { kind: "none_free"; reason: WaitingReason; considered: readonly Candidate[] }
  | { kind: "none_left" }
>;

const sampleViews = (
  views: readonly EngineView[],
  random: Random,
): readonly EngineView[] => {
  if (views.length <= PLACEMENT_SAMPLE) return views;
  const rest = [...views];
  return Array.from({ length: PLACEMENT_SAMPLE }, () => {
    const at = random.nextInt(0, rest.length - 1);
    const picked = rest[at]!;
    rest[at] = rest[rest.length - 1]!;
    rest.pop();
    return picked;
  });
};

/** Leaves out engines that failed lately, unless that would leave out too many. */
const dropEjected = (views: readonly EngineView[], now: Ms): readonly EngineView[] => {
  const kept = views.filter((view) => !view.isEjected(now));
  return kept.length >= views.length * (1 - MAX_EJECTED_SHARE) ? kept : views;
};

/** Chooses among the engines that serve the request's model. */
export const choosePlace = (options: {
  readonly views: readonly EngineView[];
  readonly stream: OwnStream;
  readonly random: Random;
  readonly now: Ms;
}): Choice => {
  const { stream, random, now } = options;
  const staying = options.views.filter((view) => !view.isLeaving(now));
  if (staying.length === 0) return { kind: "none_left" };
  const sampled = sampleViews(dropEjected(staying, now), random);
  const looked = sampled.map((view) => ({
    view,
    hasSlot: view.hasSlot(now),
    freeTokens: view.computeFreeTokens(stream, now),
  }));
  const considered = looked.map(({ view, freeTokens }) => ({
    server: view.server.name as Candidate["server"],
    freeTokens,
  }));
  const fitting = looked.filter((one) => one.hasSlot && one.freeTokens >= 0);
  const best = fitting.reduce<(typeof fitting)[number] | undefined>(
    (most, one) => (!most || one.freeTokens > most.freeTokens ? one : most),
    undefined,
  );
  if (!best) {
    const reason = looked.some((one) => one.hasSlot) ? "no_memory" : "no_slot";
    return { kind: "none_free", reason, considered };
  }
  const reason = staying.length === 1 ? "only_one" : "most_room";
  return { kind: "chosen", view: best.view, reason, considered };
};
