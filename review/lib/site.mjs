/**
 * Starts a small deployment for the scripts of this review: the project's stand-in of the platform's
 * store, and boxes as separate processes with the command of the deploy file. All addresses are loopback.
 */
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as openRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Root of the repository. */
export const ROOT = fileURLToPath(new URL("../../", import.meta.url));

export const HOST = "127.0.0.1";

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Finds a free loopback port. */
export const findPort = () =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, HOST, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** The command of the deploy file, split at spaces. */
const readCommand = () => {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
};

/** Settings as deploy/box-settings.yaml fills them from the bounds of a small site (SYSTEM.md). */
const formatSettings = ({ name, storeAddress, ports, seeds }) => `box: ${name}
dataHall: hall-a
regions: { "hall-a": "region", "hall-b": "region", "hall-c": "region", "hall-d": "region" }
listen: { clients: "${HOST}:${ports[0]}", ready: "${HOST}:${ports[1]}", metrics: "${HOST}:${ports[2]}", peers: "${HOST}:${ports[3]}" }
seeds: [${seeds.map((seed) => `"${seed}"`).join(", ")}]
store: { address: "${storeAddress}" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, isKeyRemovalStrict: true, leavingMs: 2000, coldOverage: , coldSlack: , stopSeconds: 8 }
limits: { descriptors: 4100, linkMbps: 1000.0, cores: 0.675 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

const getReady = (port) =>
  new Promise((resolve) => {
    const asked = openRequest(
      { host: HOST, port, path: "/ready", agent: false, timeout: 1_000 },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      },
    );
    asked.on("timeout", () => asked.destroy());
    asked.on("error", () => resolve(false));
    asked.end();
  });

/** Starts boxes and waits until each calls itself ready. `stop` ends them and removes their folder. */
export const startBoxes = async ({ count, storeAddress, recordsOutput }) => {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const [program, ...args] = readCommand();
  const boxes = [];
  for (let i = 0; i < count; i += 1) {
    const ports = [
      await findPort(),
      await findPort(),
      await findPort(),
      await findPort(),
    ];
    boxes.push({ name: `box-${i + 1}`, ports });
  }
  const seeds = boxes.slice(0, 3).map(({ ports }) => `${HOST}:${ports[3]}`);
  const start = (box) => {
    const path = join(folder, `${box.name}.yaml`);
    const address =
      typeof storeAddress === "function"
        ? storeAddress(boxes.indexOf(box))
        : storeAddress;
    writeFileSync(path, formatSettings({ ...box, storeAddress: address, seeds }));
    const { PATH, HOME } = process.env;
    box.ended = false;
    box.process = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, STAIRGAUGE_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(folder, `${box.name}.log`), { flags: "a" });
    box.lines = [];
    for (const stream of [box.process.stdout, box.process.stderr])
      stream.on("data", (bytes) => {
        log.write(bytes);
        if (recordsOutput) box.lines.push(bytes.toString());
      });
    box.process.on("exit", (code, signal) => {
      box.ended = true;
      box.end = signal ?? code;
    });
  };
  // A script that fails or is stopped leaves no box behind.
  process.once("exit", () => {
    for (const box of boxes) if (!box.ended) box.process.kill("SIGKILL");
  });
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));
  process.once("uncaughtException", (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  });
  for (const box of boxes) start(box);
  const awaitReady = async (limit = 20_000) => {
    const until = Date.now() + limit;
    for (const { ports } of boxes)
      while (!(await getReady(ports[1]))) {
        if (Date.now() > until) return false;
        await wait(50);
      }
    return true;
  };
  return {
    folder,
    boxes,
    start,
    awaitReady,
    stop: async () => {
      for (const box of boxes) if (!box.ended) box.process.kill("SIGKILL");
      while (boxes.some(({ ended }) => !ended)) await wait(20);
      rmSync(folder, { recursive: true, force: true });
    },
  };
};
