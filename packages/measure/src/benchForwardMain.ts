#!/usr/bin/env node
/**
 * `npm run bench:forward`: CPU time per event of a box that forwards event streams, compared with a bare pass-through of
 * the same bytes. Both are measured alternately in one run.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { command, number, option, run } from "cmd-ts";
import { SITE_HOST, SITE_KEY, startUsersSite } from "@stairgauge/standins";
import { spawnProcess, type SpawnedProcess } from "@stairgauge/testkit";
import { createLoadClient } from "./relayBench/loadClient.js";
import { readUsage } from "./relayBench/processUsage.js";

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const SITE_READY_MS = 1_500;
/** Far more than the streams of a run, because a box uses only its share of the connections that a server accepts. */
const MAX_CONNECTIONS = 5_000;

/** Streams that are open at once, and the times for which they run before and while they are measured. */
type Run = Readonly<{ streams: number; seconds: number; warmUpSeconds: number }>;

type Target = Readonly<{ name: string; process: SpawnedProcess; url: string }>;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const toPath = (file: string) => fileURLToPath(new URL(file, import.meta.url));

const formatSettings = (store: string) => `
box: bench
dataHall: hall-a
listen: { clients: "127.0.0.1:0", ready: "127.0.0.1:0", metrics: "127.0.0.1:0", peers: "127.0.0.1:0" }
store: { address: "${store}" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

/** Starts a box that forwards to the source; the stand-in of the store runs in this process. */
const startBox = async (source: string): Promise<Target> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  site.putEngine("source", source);
  site.limitConnections(MAX_CONNECTIONS);
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-"));
  const path = join(folder, "box.yaml");
  writeFileSync(path, formatSettings(site.store.address));
  const box = spawnProcess([
    toPath("../../../target/stairgauged.cjs"),
    "--settings",
    path,
  ]);
  const [, port = ""] = await box.waitForLine(/"clients":(\d+).*"event":"started"/);
  rmSync(folder, { recursive: true });
  await wait(SITE_READY_MS);
  return { name: "box", process: box, url: `http://127.0.0.1:${port}/draft/` };
};

const startPassThrough = async (source: string): Promise<Target> => {
  const process = spawnProcess([toPath("./relayBench/passThroughMain.js"), source]);
  const [, address = ""] = await process.waitForLine(/pass-through on (\S+)/);
  return { name: "pass-through", process, url: `http://${address}/draft/` };
};

/** Returns the CPU time of the target per event, in microseconds. */
const measureTarget = async (
  target: Target,
  { streams, seconds, warmUpSeconds }: Run,
): Promise<number> => {
  const client = createLoadClient({
    url: target.url,
    headers: { host: SITE_HOST, authorization: `Token ${SITE_KEY}` },
    body: "{}",
    streams,
  });
  await client.waitForAll();
  await wait(warmUpSeconds * MS_PER_SECOND);
  client.restart();
  const before = readUsage(target.process.pid);
  await wait(seconds * MS_PER_SECOND);
  const after = readUsage(target.process.pid);
  const events = client.countTokens();
  await client.close();
  return ((after.cpuSeconds - before.cpuSeconds) * MICROSECONDS_PER_SECOND) / events;
};

const app = command({
  name: "bench:forward",
  description: "Processor time per event, against a bare pass-through",
  args: {
    streams: option({ type: number, long: "streams", defaultValue: () => 500 }),
    gapMs: option({ type: number, long: "gap-ms", defaultValue: () => 50 }),
    seconds: option({ type: number, long: "seconds", defaultValue: () => 3 }),
    repeats: option({ type: number, long: "repeats", defaultValue: () => 3 }),
    warmUpSeconds: option({ type: number, long: "warm-up", defaultValue: () => 2 }),
  },
  handler: async ({ gapMs, repeats, ...measured }) => {
    const source = spawnProcess([
      toPath("./relayBench/eventSourceMain.js"),
      String(gapMs),
    ]);
    const [, address = ""] = await source.waitForLine(/source on (\S+)/);
    const targets = [await startPassThrough(address), await startBox(address)];
    const ratios: number[] = [];
    for (let i = 0; i < repeats; i += 1) {
      const micros: number[] = [];
      for (const target of targets) {
        micros.push(await measureTarget(target, measured));
        process.stdout.write(`${target.name} ${micros.at(-1)!.toFixed(1)} us an event\n`);
      }
      ratios.push(micros[1]! / micros[0]!);
    }
    const sorted = ratios.toSorted((a, b) => a - b);
    const median = sorted[sorted.length >> 1]!.toFixed(2);
    const spread = `${sorted[0]!.toFixed(2)} to ${sorted.at(-1)!.toFixed(2)}`;
    process.stdout.write(`ratio ${median} (${spread}) at ${measured.streams} streams\n`);
    process.exit(0);
  },
});

await run(app, process.argv.slice(2));
