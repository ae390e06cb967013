#!/usr/bin/env node
/** `npm run --silent measure:decisions`: µs per decision of a box, and bytes per second of messages between boxes. */
import { command, number, option, run } from "cmd-ts";
import { DECISIONS } from "./decisions/decisions.js";
import { measureDecision } from "./decisions/measureDecision.js";
import { MESSAGES } from "./decisions/messages.js";

const BOXES = [6, 64, 473];

const app = command({
  name: "measure:decisions",
  args: {
    rate: option({ type: number, long: "rate", defaultValue: () => 43.5 }),
    decisions: option({ type: number, long: "decisions", defaultValue: () => 2_000 }),
  },
  handler: async ({ rate, decisions }) => {
    const getNow = () => performance.now();
    const rows: Record<string, Record<string, string>> = {};
    for (const decision of DECISIONS) {
      const row: Record<string, string> = {};
      for (const boxes of BOXES) {
        const cost = await measureDecision(decision, {
          boxes,
          rounds: 5,
          decisions,
          getNow,
        });
        row[`${boxes} boxes`] = cost.toFixed(2);
      }
      rows[`${decision.name}, µs`] = row;
    }
    for (const { name, measureBytes } of MESSAGES)
      rows[`${name}, bytes/s`] = Object.fromEntries(
        BOXES.map((boxes) => [`${boxes} boxes`, measureBytes(boxes, rate).toFixed(0)]),
      );
    process.stdout.write(`${rate} streamed requests per second over all boxes\n`);
    console.table(rows);
  },
});

await run(app, process.argv.slice(2));
