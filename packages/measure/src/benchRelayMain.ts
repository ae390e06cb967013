#!/usr/bin/env node
/**
 * `npm run bench:relay`: CPU time per relayed token, added delay and memory per open stream of a box, compared with a
 * bare pass-through of the same bytes. Both are measured alternately in one run.
 */
import { fileURLToPath } from "node:url";
import { boolean, command, flag, number, option, run } from "cmd-ts";
import { EXAMPLE_KEY } from "@stairgauge/standins";
import {
  createBoxForEngine,
  spawnProcess,
  type SpawnedProcess,
} from "@stairgauge/testkit";
import { createLoadClient } from "./relayBench/loadClient.js";
import { readUsage } from "./relayBench/processUsage.js";

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const KIB = 1024;

/** Numbers of streams with the gap between tokens: longer gaps for more streams, so that no process is saturated. */
const SIZES = [
  { streams: 1, gapMs: 2 },
  { streams: 100, gapMs: 20 },
  { streams: 1_000, gapMs: 100 },
] as const;

type Target = Readonly<{
  name: string;
  process: SpawnedProcess;
  url: string;
  headers: Readonly<Record<string, string>>;
}>;

/** Time for which a target is measured, and for which its streams run before. */
type Durations = Readonly<{ seconds: number; warmUpSeconds: number }>;

type Row = Readonly<{
  target: string;
  streams: number;
  tokens: number;
  cpuMicrosPerToken: number;
  delayP50Micros: number;
  delayP99Micros: number;
  kibPerStream: number;
}>;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const BODY = JSON.stringify({
  model: "redac-llm",
  stream: true,
  messages: [{ role: "user", content: "x" }],
});

const measureTarget = async (
  target: Target,
  size: (typeof SIZES)[number],
  { seconds, warmUpSeconds }: Durations,
): Promise<Row> => {
  const idle = readUsage(target.process.pid);
  const { url, headers } = target;
  const client = createLoadClient({ url, headers, body: BODY, streams: size.streams });
  await client.waitForAll();
  await wait(warmUpSeconds * MS_PER_SECOND);
  client.restart();
  const before = readUsage(target.process.pid);
  await wait(seconds * MS_PER_SECOND);
  const after = readUsage(target.process.pid);
  const tokens = client.countTokens();
  const { delays } = client;
  await client.close();
  const cpu = (after.cpuSeconds - before.cpuSeconds) * MICROSECONDS_PER_SECOND;
  return {
    target: target.name,
    streams: size.streams,
    tokens,
    cpuMicrosPerToken: cpu / tokens,
    delayP50Micros: delays.getValueAtPercentile(50),
    delayP99Micros: delays.getValueAtPercentile(99),
    kibPerStream: (after.residentBytes - idle.residentBytes) / size.streams / KIB,
  };
};

const setGap = (source: string, gapMs: number) =>
  fetch(`http://${source}/gap?ms=${gapMs}`, { method: "PUT" });

const toPath = (file: string) =>
  fileURLToPath(new URL(`./relayBench/${file}`, import.meta.url));

const format = (value: number) => value.toFixed(1).padStart(10);

const printRow = (row: Row) => {
  const { cpuMicrosPerToken, delayP50Micros, delayP99Micros, kibPerStream } = row;
  const figures = [
    row.tokens,
    cpuMicrosPerToken,
    delayP50Micros,
    delayP99Micros,
    kibPerStream,
  ];
  const name = `${row.target.padEnd(12)} ${String(row.streams).padStart(5)}`;
  process.stdout.write(`${name} ${figures.map(format).join(" ")}\n`);
};

const findMedian = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;

const printRatios = (rows: readonly Row[]) => {
  for (const { streams } of SIZES) {
    const boxRows = rows.filter(
      (row) => row.streams === streams && row.target === "stairgauged",
    );
    const baselineRows = rows.filter(
      (row) => row.streams === streams && row.target === "pass-through",
    );
    const ratios = boxRows.map(
      (row, i) => row.cpuMicrosPerToken / (baselineRows[i]?.cpuMicrosPerToken ?? 0),
    );
    const addedDelays = boxRows.map(
      (row, i) => row.delayP50Micros - (baselineRows[i]?.delayP50Micros ?? 0),
    );
    const median = findMedian(ratios).toFixed(2);
    const spread = `${Math.min(...ratios).toFixed(2)}–${Math.max(...ratios).toFixed(2)}`;
    const delay = findMedian(addedDelays).toFixed(0);
    process.stdout.write(
      `${streams} streams: CPU per token ${median}x (${spread}), added p50 ${delay} µs\n`,
    );
  }
};

const app = command({
  name: "bench:relay",
  args: {
    seconds: option({ type: number, long: "seconds", defaultValue: () => 5 }),
    repeats: option({ type: number, long: "repeats", defaultValue: () => 3 }),
    warmUpSeconds: option({ type: number, long: "warm-up", defaultValue: () => 2 }),
    json: flag({ type: boolean, long: "json" }),
  },
  handler: async ({ repeats, json, ...durations }) => {
    const source = spawnProcess([toPath("sourceMain.js")]);
    const [, address = ""] = await source.waitForLine(/engine on (\S+)/);
    const passThrough = spawnProcess([toPath("passThroughMain.js"), address]);
    const [, passAddress = ""] = await passThrough.waitForLine(/pass-through on (\S+)/);
    const box = await createBoxForEngine(address);
    const targets: readonly Target[] = [
      {
        name: "stairgauged",
        process: box.process,
        url: `${box.url}/v1/chat/completions`,
        headers: {
          authorization: `Bearer ${EXAMPLE_KEY}`,
          "content-type": "application/json",
        },
      },
      {
        name: "pass-through",
        process: passThrough,
        url: `http://${passAddress}/`,
        headers: {},
      },
    ];
    const rows: Row[] = [];
    process.stdout.write(
      "target      streams     tokens  µs/token   p50 µs     p99 µs  KiB/stream\n",
    );
    for (const size of SIZES) {
      await setGap(address, size.gapMs);
      for (let repeat = 0; repeat < repeats; repeat += 1) {
        for (const target of targets) {
          const row = await measureTarget(target, size, durations);
          rows.push(row);
          printRow(row);
          await wait(MS_PER_SECOND);
        }
      }
    }
    printRatios(rows);
    if (json) process.stdout.write(`${JSON.stringify(rows)}\n`);
    source.kill("SIGKILL");
    passThrough.kill("SIGKILL");
    await box.destroy();
  },
});

await run(app, process.argv.slice(2));
