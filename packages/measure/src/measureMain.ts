#!/usr/bin/env node
/** `npm run --silent measure`: simulates a traffic profile under three policies and prints their figures side by side. */
import { command, flag, number, oneOf, option, run, string } from "cmd-ts";
import { measureProfile, type MeasureReport } from "./model/measureProfile.js";
import { FAULTS, type Fault } from "./model/types.js";

const EXIT_USAGE = 2;

const parseFaults = (text: string): readonly Fault[] =>
  text
    .split(",")
    .filter((name) => name !== "")
    .map((name) => {
      const fault = FAULTS.find((one) => one === name);
      if (fault) return fault;
      process.stderr.write(`--faults: ${name} is none of ${FAULTS.join(", ")}\n`);
      process.exit(EXIT_USAGE);
    });

const printTable = (report: MeasureReport) => {
  const { profile, seed, load, boxes, faults, capacityPerSecond, offeredPerSecond } =
    report;
  const head = `${profile}, seed ${seed}, load ${load}, ${boxes} boxes, faults: ${faults.join(", ") || "none"}`;
  process.stdout.write(
    `${head}\ncapacity ${capacityPerSecond} requests/s, offered ${offeredPerSecond}\n\n`,
  );
  const rows = Object.entries(report.policies).map(([policy, one]) => ({
    policy,
    completed: one.completed,
    refused: one.refused,
    unfinished: one.unfinished,
    lost: one.lost,
    "stall s mean": one.stallSecondsPerStream.mean,
    "preempt/1000": one.preemptionsPerThousandStreams,
    "gap p50": one.gapMs.p50,
    "gap p99": one.gapMs.p99,
    "gap p99.9": one.gapMs.p999,
    "first p50": one.firstTokenMs.p50,
    "first p95": one.firstTokenMs.p95,
    "tokens/s": one.tokensPerSecond,
    ...Object.fromEntries(
      Object.entries(one.byTier).map(([tier, { firstTokenMs }]) => [
        `${tier} first p95`,
        firstTokenMs.p95,
      ]),
    ),
  }));
  console.table(rows);
};

const app = command({
  name: "measure",
  args: {
    profile: option({ type: oneOf(["kerlann", "turnos"] as const), long: "profile" }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    load: option({ type: number, long: "load", defaultValue: () => 0.9 }),
    boxes: option({ type: number, long: "boxes", defaultValue: () => 6 }),
    faults: option({ type: string, long: "faults", defaultValue: () => "" }),
    json: flag({ long: "json" }),
  },
  handler: ({ faults, json, ...options }) => {
    const report = measureProfile({ ...options, faults: parseFaults(faults) });
    if (json) process.stdout.write(`${JSON.stringify(report)}\n`);
    else printTable(report);
  },
});

await run(app, process.argv.slice(2));
