/** Test helpers: the compiled program of a box, as a process of its own. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { spawnProcess } from "@stairgauge/testkit";
import { closers } from "./box.testkit.js";
import type { BoxPorts } from "./createLifecycle.js";

/** A running box: its process, its ports, that for clients by itself as well, and the lines that it has written. */
export type BoxProcess = Readonly<{
  pid: number;
  port: number;
  ports: BoxPorts;
  listLines: () => readonly string[];
  waitForExit: () => Promise<number | null>;
}>;

/** What the boxes of a test differ in. */
export type BoxProcessOptions = Readonly<{
  name: string;
  /** Address of the store. */
  store: string;
  heapMb: number;
  descriptors: number;
  /** Further settings, as lines of the settings file. */
  more?: string;
}>;

const RUN_BOX = fileURLToPath(new URL("../dist/main.js", import.meta.url));

const formatSettings = ({ name, store, descriptors, more = "" }: BoxProcessOptions) => `
box: ${name}
dataHall: hall-a
listen: { clients: "127.0.0.1:0", ready: "127.0.0.1:0", metrics: "127.0.0.1:0", peers: "127.0.0.1:0" }
store: { address: "${store}" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, isKeyRemovalStrict: false, leavingMs: 2000, stopSeconds: 1 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
limits: { descriptors: ${descriptors} }
${more}
`;

/** Starts a box; it ends with the test. `onSpawned` is called before the box listens. */
export const startBoxProcess = async (
  options: BoxProcessOptions,
  onSpawned?: (pid: number) => void,
): Promise<BoxProcess> => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-box-"));
  const path = join(folder, "box.yaml");
  writeFileSync(path, formatSettings(options));
  const script = `import { runBox } from ${JSON.stringify(RUN_BOX)}; await runBox({ keptCode: "absent" });`;
  const started = spawnProcess([
    `--max-old-space-size=${options.heapMb}`,
    "--max-semi-space-size=2",
    "--input-type=module",
    "-e",
    script,
    "--",
    "--settings",
    path,
  ]);
  onSpawned?.(started.pid);
  closers.push(async () => {
    started.kill("SIGKILL");
    await started.waitForExit();
  });
  const [line = ""] = await started.waitForLine(/.*"event":"started".*/);
  const { ports } = JSON.parse(line) as { ports: BoxPorts };
  rmSync(folder, { recursive: true });
  const { pid, listLines, waitForExit } = started;
  return { pid, port: ports.clients, ports, listLines, waitForExit };
};
