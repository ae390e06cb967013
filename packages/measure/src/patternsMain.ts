/** Simulates the load patterns with two ways of choosing engines, and prints how the results differ. */
import { ENGINE_WAYS, type EngineWayName } from "@stairgauge/placement";
import { command, number, oneOf, option, run } from "cmd-ts";
import { compareWays } from "./crowded/compareWays.js";
import { PATTERNS } from "./crowded/patterns.js";

const NAMES = Object.keys(ENGINE_WAYS) as EngineWayName[];

const toText = (value: number): string => value.toFixed(3);

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
    seeds: option({ type: number, long: "seeds", defaultValue: () => 12 }),
  },
  handler: ({ first, second, seeds }) => {
    const seedList = Array.from({ length: seeds }, (_, i) => i + 1);
    for (const pattern of PATTERNS) {
      const difference = compareWays(pattern, [first, second], seedList);
      process.stdout.write(
        `${difference.pattern}: ${first} ${toText(difference.first.share)} (worst windows ${toText(difference.first.worstShare)}), ` +
          `${second} ${toText(difference.second.share)} (${toText(difference.second.worstShare)}); gain ${toText(difference.gain)} ` +
          `± ${toText(difference.gainSpread)}, in worst windows ${toText(difference.worstGain)} ± ${toText(difference.worstGainSpread)}\n`,
      );
    }
  },
});

await run(main, process.argv.slice(2));
