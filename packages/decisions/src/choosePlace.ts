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

/**
 * The chosen engine, or why there is none: `none_free` if no engine that was looked at has the
 * capacity now, `none_left` if no engine can take new work.
 */
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

/** Max samples drawn before all engines are looked at. */
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

/** Leaves out engines that failed recently, unless that exceeds `MAX_EJECTED_SHARE`. */
const dropEjected = (views: readonly EngineView[], now: Ms): readonly EngineView[] => {
  const kept = views.filter((view) => !view.isEjected(now));
  return kept.length >= views.length * (1 - MAX_EJECTED_SHARE) ? kept : views;
};

/** Selects the engines to look at, without leaving ones: all if there are few, else a random sample. */
const pickViews = (
  views: readonly EngineView[],
  random: Random,
  now: Ms,
): readonly EngineView[] => {
  const dropUnusable = (some: readonly EngineView[]) =>
    dropEjected(
      some.filter((view) => !view.isLeaving(now)),
      now,
    );
  if (views.length <= PLACEMENT_SAMPLE) return dropUnusable(views);
  for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
    const sampled = dropUnusable(sampleViews(views, random));
    if (sampled.length > 0) return sampled;
  }
  return dropUnusable(views).slice(0, PLACEMENT_SAMPLE);
};

/** Chooses the least busy engine that has a free slot and enough free memory for the request. */
export const choosePlace = (options: {
  /** Engines that serve the request's model. */
  readonly views: readonly EngineView[];
  /** Memory forecast of the request. */
  readonly candidate: Forecast;
  readonly summary: BoxSummary;
  /** Memory to keep free, in standard deviations of the forecast. */
  readonly caution: number;
  readonly random: Random;
  readonly now: Ms;
}): Choice => {
  const { candidate, summary, caution, random, now } = options;
  const selected = pickViews(options.views, random, now);
  if (selected.length === 0) return { kind: "none_left" };
  const tokensPerStream = PREFILL_TOKENS_PER_STREAM;
  const candidates = selected.map((view) => ({
    view,
    hasSlot: view.hasSlot(now),
    freeTokens: view.computeFreeTokens({ candidate, summary, caution, now }),
    busyness: view.computeBusyness({ summary, tokensPerStream, now }),
    /** Breaks ties between equally busy engines at random, so that boxes choose differently. */
    tieBreaker: random.nextFloat(),
  }));
  const considered = candidates.map(({ view, freeTokens, busyness }) => ({
    server: view.server.name as Candidate["server"],
    freeTokens,
    busyness: Number(busyness.toFixed(2)),
  }));
  const [best] = candidates
    .filter((one) => one.hasSlot && one.freeTokens >= 0)
    .sort((a, b) => a.busyness - b.busyness || a.tieBreaker - b.tieBreaker);
  if (!best) {
    const reason = candidates.some((one) => one.hasSlot) ? "no_memory" : "no_slot";
    return { kind: "none_free", reason, considered };
  }
  const reason = selected.length === 1 ? "only_one" : "least_busy";
  return { kind: "chosen", view: best.view, reason, considered };
};
