/** Chooses an engine for one request. */
import type { Ms, Random } from "@stairgauge/common";
import {
  MAX_EJECTED_SHARE,
  PLACEMENT_SAMPLE,
  PREFILL_TOKENS_PER_STREAM,
} from "./constants.js";
import type { BoxSummary, EngineView } from "./engineView.js";
import type { Forecast } from "./memoryForecast.js";
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

/** Draws of a whole sample before all engines are looked at. */
const MAX_DRAWS = 3;

const sampleViews = (
  views: readonly EngineView[],
  random: Random,
): readonly EngineView[] => {
  const picked = new Set<EngineView>();
  while (picked.size < PLACEMENT_SAMPLE) {
    picked.add(views[random.nextInt(0, views.length - 1)]!);
  }
  return [...picked];
};

/** Leaves out engines that failed lately, unless that would leave out too many. */
const dropEjected = (views: readonly EngineView[], now: Ms): readonly EngineView[] => {
  const kept = views.filter((view) => !view.isEjected(now));
  return kept.length >= views.length * (1 - MAX_EJECTED_SHARE) ? kept : views;
};

/** Engines to look at: all of a few, or a sample of many; none that leaves. */
const pickViews = (
  views: readonly EngineView[],
  random: Random,
  now: Ms,
): readonly EngineView[] => {
  const drop = (some: readonly EngineView[]) =>
    dropEjected(
      some.filter((view) => !view.isLeaving(now)),
      now,
    );
  if (views.length <= PLACEMENT_SAMPLE) return drop(views);
  for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
    const sampled = drop(sampleViews(views, random));
    if (sampled.length > 0) return sampled;
  }
  return drop(views).slice(0, PLACEMENT_SAMPLE);
};

/** Chooses among the engines that serve the request's model: of those with room, the least busy. */
export const choosePlace = (options: {
  readonly views: readonly EngineView[];
  readonly candidate: Forecast;
  readonly summary: BoxSummary;
  readonly caution: number;
  readonly random: Random;
  readonly now: Ms;
}): Choice => {
  const { candidate, summary, caution, random, now } = options;
  const selected = pickViews(options.views, random, now);
  if (selected.length === 0) return { kind: "none_left" };
  const tokensPerStream = PREFILL_TOKENS_PER_STREAM;
  const looked = selected.map((view) => ({
    view,
    hasSlot: view.hasSlot(now),
    freeTokens: view.computeRoom({ candidate, summary, caution, now }),
    busyness: view.computeBusyness({ summary, tokensPerStream, now }),
    /** Breaks ties apart on each box. */
    lot: random.nextFloat(),
  }));
  const considered = looked.map(({ view, freeTokens, busyness }) => ({
    server: view.server.name as Candidate["server"],
    freeTokens,
    busyness: Number(busyness.toFixed(2)),
  }));
  const [best] = looked
    .filter((one) => one.hasSlot && one.freeTokens >= 0)
    .sort((a, b) => a.busyness - b.busyness || a.lot - b.lot);
  if (!best) {
    const reason = looked.some((one) => one.hasSlot) ? "no_memory" : "no_slot";
    return { kind: "none_free", reason, considered };
  }
  const reason = selected.length === 1 ? "only_one" : "least_busy";
  return { kind: "chosen", view: best.view, reason, considered };
};
