/** Starts boxes of the production bundle as processes of their own, and reads their CPU time. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { spawnProcess, type SpawnedProcess } from "@stairgauge/testkit";
import { readUsage } from "../relayBench/processUsage.js";
import type { UsedTime } from "./combineFigures.js";

const MS_PER_SECOND = 1_000;
/** The start file that `npm run build:box` writes. */
export const BUILT_BUNDLE = fileURLToPath(
  new URL("../../../../target/stairgauged.cjs", import.meta.url),
);
/** The flags of deploy/system.toml; with others, the kept machine code is refused. */
const FLAGS = ["--max-old-space-size=96", "--max-semi-space-size=2"];

/** A box to start. */
export type BoxChoice = Readonly<{
  name: string;
  store: string;
  /** Boxes with more cores are ranked first as hubs. */
  cores: number;
  /** Path of the start file. */
  bundle: string;
  /** Further flags of the runtime. */
  nodeFlags?: readonly string[];
}>;

/** A running box. */
export type BoxUnderTest = Readonly<{
  process: SpawnedProcess;
  clientPort: number;
  /** User and system time so far, in milliseconds; the kernel counts in steps of 10. */
  readCpuMs: () => number;
  stop: () => Promise<void>;
}>;

const formatSettings = ({ name, store, cores }: BoxChoice) => `
box: ${name}
dataHall: hall-a
listen: { clients: "127.0.0.1:0", ready: "127.0.0.1:0", metrics: "127.0.0.1:0", peers: "127.0.0.1:0" }
store: { address: "${store}" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
limits: { cores: ${cores} }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

/** Starts a box and waits until it knows its servers and the list of boxes. */
export const startBoxUnderTest = async (choice: BoxChoice): Promise<BoxUnderTest> => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-cost-"));
  const path = join(folder, "box.yaml");
  writeFileSync(path, formatSettings(choice));
  const process = spawnProcess([
    ...FLAGS,
    ...(choice.nodeFlags ?? []),
    choice.bundle,
    "--settings",
    path,
  ]);
  const [, port = ""] = await process.waitForLine(/"clients":(\d+).*"event":"started"/);
  await process.waitForLine(/"event":"server_joined"/);
  await process.waitForLine(/"event":"peers"/);
  rmSync(folder, { recursive: true });
  return {
    process,
    clientPort: Number(port),
    readCpuMs: () => readUsage(process.pid).cpuSeconds * MS_PER_SECOND,
    stop: async () => {
      process.kill("SIGKILL");
      await process.waitForExit();
    },
  };
};

/** Measures the CPU time of a box while `work` runs. */
export const measureUse = async (
  box: BoxUnderTest,
  work: () => Promise<void>,
): Promise<UsedTime> => {
  const startedAt = performance.now();
  const before = box.readCpuMs();
  await work();
  return {
    cpuMs: box.readCpuMs() - before,
    elapsedMs: performance.now() - startedAt,
  };
};
