#!/usr/bin/env node
/** `npm run --silent measure:slopes [-- --json]`: how costs grow with sizes, for docs/CAPACITY.md. */
import { command, flag, run } from "cmd-ts";
import { measureSlope } from "./slopes/measureSlope.js";
import { PROBES } from "./slopes/probes.js";
import type { Slope } from "./slopes/types.js";

const format = (value: number) => Number(value.toPrecision(4)).toString();

const printSlope = (slope: Slope) => {
  const { name, unit, sizes, perUnit, base, isLinear, rSquared } = slope;
  process.stdout.write(
    `${name}: ${format(perUnit)} ${unit} each, ${format(base)} besides\n`,
  );
  for (const { size, median, low, high } of sizes) {
    process.stdout.write(
      `  at ${size}: ${format(median)} (${format(low)} to ${format(high)})\n`,
    );
  }
  if (!isLinear)
    process.stdout.write(`  WARNING: growth is not linear (r² ${format(rSquared)})\n`);
};

const app = command({
  name: "measure:slopes",
  args: { json: flag({ long: "json" }) },
  handler: async ({ json }) => {
    const slopes: Slope[] = [];
    for (const probe of PROBES) {
      const slope = await measureSlope(probe);
      slopes.push(slope);
      if (!json) printSlope(slope);
    }
    if (json) process.stdout.write(`${JSON.stringify(slopes, null, 2)}\n`);
  },
});

await run(app, process.argv.slice(2));
