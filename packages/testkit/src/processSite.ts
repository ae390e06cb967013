/** Test sites of separate processes: stand-in engines, services and platform, and boxes. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { TrustedOperator } from "@stairgauge/bundle";
import { buildExampleBundle, signExampleBundle } from "@stairgauge/standins";
import { spawnProcess, type SpawnedProcess } from "./spawnProcess.js";

const APP_FOLDER = fileURLToPath(new URL("../../../apps/daemon/dist/", import.meta.url));
const ADDRESS_LINE = /^(?:engine|service|platform) on (\S+)$/;
const LISTENING_LINE = /"callers":(\d+),"operators":(\d+)/;
const TEST_SECRET = "test-secret-test-secret-test-secret-test";

/** A stand-in process and its address, IP:PORT. */
export type StandinProcess = Readonly<{ process: SpawnedProcess; address: string }>;

/** A box process and its addresses. */
export type BoxProcess = Readonly<{
  process: SpawnedProcess;
  /** Base URL for clients. */
  url: string;
  /** Base URL of the operators' port. */
  operatorsUrl: string;
}>;

/** Size and settings of a site. */
export type ProcessSiteOptions = Readonly<{
  /** Number of engines. */
  engines: number;
  /** Number of plain servers. */
  services: number;
  /** Number of boxes. */
  boxes: number;
  /** Fixed duration of an engine's decoding step, in milliseconds; 2 by default. */
  stepMs?: number;
  /** Operators whom the boxes trust besides the example's. */
  trusted?: readonly TrustedOperator[];
  /** Additional settings of the boxes; they override the defaults. */
  settings?: Readonly<Record<string, unknown>>;
}>;

/** A running site. */
export type ProcessSite = Readonly<{
  engines: readonly StandinProcess[];
  services: readonly StandinProcess[];
  platform: StandinProcess;
  boxes: readonly BoxProcess[];
  /** Kills all processes of the site and deletes its files. */
  destroy: () => Promise<void>;
}>;

/** Starts a stand-in as a separate process on the given port, or on any free one if it is 0. */
export const spawnStandin = async (
  args: readonly string[],
  port = 0,
): Promise<StandinProcess> => {
  const process = spawnProcess([
    join(APP_FOLDER, "standinsMain.js"),
    ...args,
    "--port",
    String(port),
  ]);
  const [, address = ""] = await process.waitForLine(ADDRESS_LINE);
  return { process, address };
};

const spawnBox = async (settingsFile: string): Promise<BoxProcess> => {
  const process = spawnProcess([join(APP_FOLDER, "main.js"), "--settings", settingsFile]);
  const [, callers, operators] = await process.waitForLine(LISTENING_LINE);
  await process.waitForLine(/bundle in force/);
  return {
    process,
    url: `http://127.0.0.1:${callers}`,
    operatorsUrl: `http://127.0.0.1:${operators}`,
  };
};

const buildSettings = (options: {
  readonly box: string;
  readonly platform: string;
  readonly trusted: readonly TrustedOperator[];
  readonly extra: Readonly<Record<string, unknown>>;
}) => {
  // The example operators' keys follow from their names, so any example bundle yields the same operators.
  const { trusted } = signExampleBundle(
    buildExampleBundle({ engines: ["127.0.0.1:1"], services: ["127.0.0.1:2"] }),
    1,
  );
  const { platform } = options;
  return JSON.stringify({
    box: options.box,
    dataHall: "rennes-a",
    listen: "127.0.0.1:0",
    operatorsListen: "127.0.0.1:0",
    platform: { table: platform, objects: platform, boxes: platform },
    signOff: { approvalsNeeded: 1, trustedOperators: [...trusted, ...options.trusted] },
    resumeKeys: [{ id: "test", secret: TEST_SECRET }],
    ...options.extra,
  });
};

const destroyProcesses = async (processes: readonly SpawnedProcess[], folder: string) => {
  for (const process of processes) process.kill("SIGKILL");
  await Promise.all(processes.map((process) => process.waitForExit()));
  rmSync(folder, { recursive: true, force: true });
};

/** Starts all processes of a site and waits until each box has a bundle in force. */
export const createProcessSite = async (
  options: ProcessSiteOptions,
): Promise<ProcessSite> => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-test-"));
  const stepMs = String(options.stepMs ?? 2);
  const engines = await Promise.all(
    Array.from({ length: options.engines }, (_, i) =>
      spawnStandin(["engine", "--seed", String(i), "--step-ms", stepMs]),
    ),
  );
  const services = await Promise.all(
    Array.from({ length: options.services }, (_, i) =>
      spawnStandin(["service", "--name", `annonces-${i + 1}`]),
    ),
  );
  const platform = await spawnStandin([
    "platform",
    ...engines.flatMap(({ address }) => ["--engine", address]),
    ...services.flatMap(({ address }) => ["--service", address]),
  ]);
  const boxes = await Promise.all(
    Array.from({ length: options.boxes }, (_, i) => {
      const file = join(folder, `box-${i}.yaml`);
      const extra = options.settings ?? {};
      writeFileSync(
        file,
        buildSettings({
          box: `box-${i}`,
          platform: platform.address,
          trusted: options.trusted ?? [],
          extra,
        }),
      );
      return spawnBox(file);
    }),
  );
  const processes = [...engines, ...services, platform, ...boxes].map(
    (one) => one.process,
  );
  return {
    engines,
    services,
    platform,
    boxes,
    destroy: () => destroyProcesses(processes, folder),
  };
};

/** Starts one box that forwards to an engine that is already running, for benchmarks. */
export const createBoxForEngine = async (
  engine: string,
): Promise<BoxProcess & Readonly<{ destroy: () => Promise<void> }>> => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-bench-"));
  const service = await spawnStandin(["service"]);
  const addresses = ["--engine", engine, "--service", service.address];
  const platform = await spawnStandin(["platform", "--roomy", ...addresses]);
  const file = join(folder, "box.yaml");
  const extra = { log: { level: "info" } };
  writeFileSync(
    file,
    buildSettings({ box: "bench", platform: platform.address, trusted: [], extra }),
  );
  const box = await spawnBox(file);
  const processes = [service.process, platform.process, box.process];
  return {
    ...box,
    destroy: () => destroyProcesses(processes, folder),
  };
};
