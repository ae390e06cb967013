/** Simulates the load patterns with two ways of choosing engines, and prints how the results differ. */
import { ENGINE_WAYS, type EngineWayName } from "@stairgauge/placement";
import { command, flag, number, oneOf, option, run } from "cmd-ts";
import { comparePace, compareWays, type WayDifference } from "./crowded/compareWays.js";
import { PATTERNS } from "./crowded/patterns.js";

const NAMES = Object.keys(ENGINE_WAYS) as EngineWayName[];

const toText = (value: number): string => value.toFixed(3);

const formatDifference = (
  difference: WayDifference,
  [first, second]: readonly [string, string],
): string => {
  const formatResults = ({
    share,
    worstShare,
    lateFirst,
    latePause,
  }: WayDifference["first"]) =>
    `${toText(share)} (worst windows ${toText(worstShare)}; late by first event ${lateFirst.toFixed(1)}, by pause ${latePause.toFixed(1)})`;
  return (
    `${difference.pattern}: ${first} ${formatResults(difference.first)}, ` +
    `${second} ${formatResults(difference.second)}; gain ${toText(difference.gain)} ± ${toText(difference.gainSpread)}, ` +
    `in worst windows ${toText(difference.worstGain)} ± ${toText(difference.worstGainSpread)}\n`
  );
};

const main = command({
  name: "patterns",
  description:
    "compares two ways of choosing engines on all patterns, the same seeds for both",
  args: {
    first: option({
      type: oneOf(NAMES),
      long: "first",
      defaultValue: () => "free_memory" as const,
    }),
    second: option({
      type: oneOf(NAMES),
      long: "second",
      defaultValue: () => "short_queue" as const,
    }),
    pace: flag({
      long: "pace",
      description: "compares the second way without and with the engines' service times",
    }),
    seeds: option({ type: number, long: "seeds", defaultValue: () => 12 }),
  },
  handler: ({ first, second, seeds, pace }) => {
    const seedList = Array.from({ length: seeds }, (_, i) => i + 1);
    for (const pattern of PATTERNS) {
      const text = pace
        ? formatDifference(comparePace(pattern, second, seedList), [second, "with pace"])
        : formatDifference(compareWays(pattern, [first, second], seedList), [
            first,
            second,
          ]);
      process.stdout.write(text);
    }
  },
});

await run(main, process.argv.slice(2));
