/** A site of separate processes: stand-in engines, service, platform, and entry boxes. */
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

/** A stand-in process and its address. */
export type StandinProcess = Readonly<{ process: SpawnedProcess; address: string }>;

/** A box process and its addresses. */
export type BoxProcess = Readonly<{
  process: SpawnedProcess;
  /** Base URL for callers. */
  url: string;
  /** Base URL of the operators' port. */
  operatorsUrl: string;
}>;

/** What a site is made of. */
export type ProcessSiteOptions = Readonly<{
  engines: number;
  services: number;
  boxes: number;
  /** Fixed part of an engine's decoding step, milliseconds. */
  stepMs?: number;
  /** Operators whom the boxes trust beside the example's. */
  trusted?: readonly TrustedOperator[];
  /** Settings of the boxes beyond the necessary ones. */
  settings?: Readonly<Record<string, unknown>>;
}>;

/** A running site. */
export type ProcessSite = Readonly<{
  engines: readonly StandinProcess[];
  services: readonly StandinProcess[];
  platform: StandinProcess;
  boxes: readonly BoxProcess[];
  /** Ends every process of the site. */
  destroy: () => Promise<void>;
}>;

/** Starts a stand-in as a process of its own, on any free port unless it is named. */
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
  // The example's operators are made from published text, so any bundle names the same ones.
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

/** Starts all processes of a site and waits until its boxes serve. */
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

/** One box before an engine that runs already, for benchmarks. */
export const createBoxBefore = async (
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
