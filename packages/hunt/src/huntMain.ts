#!/usr/bin/env node
/**
 * `npm run hunt -- --seed N --runs N`: runs many random schedules, for long searches outside CI. Prints a shrunk schedule
 * that breaks a promise; `--replay FILE` runs such a schedule again.
 */
import { readFileSync } from "node:fs";
import { command, number, option, optional, run, string } from "cmd-ts";
import type { Command } from "./commands.js";
import { findCounterexample } from "./findCounterexample.js";
import { findBrokenPromise } from "./promises.js";
import { runSchedule } from "./simulation.js";

const replaySchedule = async (file: string) => {
  const schedule = JSON.parse(readFileSync(file, "utf8")) as readonly Command[];
  const broken = findBrokenPromise(await runSchedule(schedule));
  process.stdout.write(
    broken ? `${broken.promise}: ${broken.detail}\n` : "no promise broken\n",
  );
  process.exitCode = broken ? 1 : 0;
};

const app = command({
  name: "hunt",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    runs: option({ type: number, long: "runs", defaultValue: () => 10_000 }),
    replay: option({
      type: optional(string),
      long: "replay",
      description: "file with a schedule that a hunt printed",
    }),
  },
  handler: async ({ seed, runs, replay }) => {
    if (replay !== undefined) return replaySchedule(replay);
    const counterexample = await findCounterexample({ seed, runs });
    if (!counterexample) {
      process.stdout.write(`${runs} schedules from seed ${seed}: no promise broken\n`);
      return;
    }
    process.stdout.write(
      `seed ${seed}: ${counterexample.message}\n${JSON.stringify(counterexample.schedule)}\n`,
    );
    process.exitCode = 1;
  },
});

await run(app, process.argv.slice(2));
