/** Summary over all engines: expected growth of this box's streams, and the share of other boxes. */
import type { Ms } from "@stairgauge/common";
import type { BoxSummary, EngineView } from "./engineView.js";
import { HORIZONS } from "./memoryForecast.js";

/** Growth of memory at every horizon, as a factor, assumed while this box has no streams. */
const DEFAULT_GROWTH = 1.1;

/** Computes the summary. `ownTokensPerMs`: prompt tokens that this box places per millisecond. */
export const computeBoxSummary = (
  views: Iterable<EngineView>,
  ownTokensPerMs: number,
  now: Ms,
): BoxSummary => {
  const growth = new Float64Array(HORIZONS.length);
  const spread = new Float64Array(HORIZONS.length);
  let ownStreams = 0;
  let otherStreams = 0;
  let engines = 0;
  for (const view of views) {
    const { mean, variance } = view.getOwnForecast();
    engines += 1;
    ownStreams += view.countOwn();
    otherStreams += view.countOthers(now);
    for (let h = 0; h < HORIZONS.length; h += 1) {
      growth[h]! += mean[h]!;
      spread[h]! += variance[h]!;
    }
  }
  const tokensNow = growth[0]!;
  for (let h = 0; h < HORIZONS.length; h += 1) {
    growth[h] = tokensNow > 0 ? growth[h]! / tokensNow : DEFAULT_GROWTH;
    spread[h] = tokensNow > 0 ? spread[h]! / tokensNow : 0;
  }
  const othersPerOwn = ownStreams > 0 ? otherStreams / ownStreams : 0;
  const othersTokensPerMs = engines > 0 ? (ownTokensPerMs * othersPerOwn) / engines : 0;
  return { growth, spread, othersPerOwn, othersTokensPerMs };
};
