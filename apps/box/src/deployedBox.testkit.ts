/**
 * Test helpers: a box as the deploy file starts it, which is the bundle with its command, on a machine that ends a process
 * beyond its memory.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { toHostAndPort } from "@stairgauge/common";
import { spawnProcess } from "@stairgauge/testkit";
import { closers } from "./box.testkit.js";
import type { BoxPorts } from "./createLifecycle.js";
import { watchUse, type ProcessUse } from "./processUse.testkit.js";

const DEPLOYMENT = readFileSync("deploy/system.toml", "utf8");

/** What the settings of a small site give a box: memory and open files that the process may use, and its time to stop. */
export const DEPLOYED_MACHINE = {
  memoryMb: 200,
  descriptors: 4_100,
  stopSeconds: 8,
} as const;

/** Nothing listens on this port of the loopback address. */
const CLOSED_PORT = 1;

/** Finds the arguments after `node` in the command of the deploy file that runs the script. */
export const findArguments = (script: RegExp): readonly string[] => {
  const match = new RegExp(`node ((?:--\\S+ )*\\S*${script.source})`).exec(DEPLOYMENT);
  if (!match) throw new TypeError(`deploy/system.toml starts no ${script.source}`);
  return match[1]!.split(" ");
};

/** Arguments after `node` that start a box. */
export const findStartArguments = () => findArguments(/target\/stairgauged\.cjs/);

/** Builds the bundle as the deploy file does; throws if that fails. */
export const buildBundle = async (): Promise<void> => {
  const build = spawnProcess(findArguments(/deploy\/build\.js/));
  if ((await build.waitForExit()) !== 0)
    throw new Error(`the build failed:\n${build.listLines().join("\n")}`);
};

/** A started box. */
export type DeployedBox = Readonly<{
  pid: number;
  ports: BoxPorts;
  listLines: () => readonly string[];
  hasEnded: () => boolean;
  readUse: () => ProcessUse;
  sendSignal: (signal: NodeJS.Signals) => void;
  waitForExit: () => Promise<number | null>;
  /** Writes the settings anew, with another time to stop. */
  writeSettings: (changes: Readonly<{ stopSeconds: number }>) => void;
}>;

/** What the boxes of a test differ in. */
export type DeployedBoxOptions = Readonly<{
  name: string;
  /** Address of the store. */
  store: string;
  stopSeconds?: number;
  /** Addresses that this box does not reach. */
  cutAddresses?: readonly string[];
}>;

/** Makes connections to the ports fail; a module that the box's process loads first. */
const formatCut = (addresses: readonly string[]) => `
const { Socket } = require("node:net");
const cut = new Set(${JSON.stringify(addresses.map((address) => toHostAndPort(address).port))});
const connect = Socket.prototype.connect;
Socket.prototype.connect = function (...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  if (cut.has(Number(options.port))) options.port = ${CLOSED_PORT};
  return connect.apply(this, args);
};
`;

/** Settings as deploy/box-settings.yaml fills them from the bounds of a small site. */
const formatSettings = ({
  name,
  store,
  stopSeconds = DEPLOYED_MACHINE.stopSeconds,
}: DeployedBoxOptions) => `box: ${name}
dataHall: hall-a
regions: { "hall-a": "region" }
listen: { clients: "127.0.0.1:0", ready: "127.0.0.1:0", metrics: "127.0.0.1:0", peers: "127.0.0.1:0" }
seeds: []
store: { address: "${store}" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, isKeyRemovalStrict: true, leavingMs: 2000, stopSeconds: ${stopSeconds} }
limits: { descriptors: ${DEPLOYED_MACHINE.descriptors}, memoryMb: ${DEPLOYED_MACHINE.memoryMb}, linkMbps: 1000.0, cores: 0.675 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

/** Starts a box; it ends with the test. Resolves once it listens. */
export const startDeployedBox = async (
  options: DeployedBoxOptions,
): Promise<DeployedBox> => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-box-"));
  const path = join(folder, "box.yaml");
  writeFileSync(path, formatSettings(options));
  const cutPath = join(folder, "cut.cjs");
  writeFileSync(cutPath, formatCut(options.cutAddresses ?? []));
  const started = spawnProcess([
    ...(options.cutAddresses ? ["--require", cutPath] : []),
    ...findStartArguments(),
    "--settings",
    path,
  ]);
  let hasEnded = false;
  void started.waitForExit().then(() => (hasEnded = true));
  const readUse = watchUse(started.pid, ({ memoryMb }) => {
    if (memoryMb > DEPLOYED_MACHINE.memoryMb) started.kill("SIGKILL");
  });
  closers.push(async () => {
    started.kill("SIGKILL");
    await started.waitForExit();
    rmSync(folder, { recursive: true });
  });
  const [line] = await started.waitForLine(/.*"event":"started".*/);
  const { ports } = JSON.parse(line) as { ports: BoxPorts };
  const { pid, listLines, waitForExit } = started;
  return {
    pid,
    ports,
    listLines,
    sendSignal: started.kill,
    waitForExit,
    hasEnded: () => hasEnded,
    readUse,
    writeSettings: (changes) =>
      writeFileSync(path, formatSettings({ ...options, ...changes })),
  };
};
