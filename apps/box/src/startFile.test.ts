/**
 * The program that the platform starts, built and started with the commands of
 * deploy/system.toml.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { READY_PATH } from "@stairgauge/platform";
import { spawnProcess, takePort, type SpawnedProcess } from "@stairgauge/testkit";
import { formatBoxSettings, sendRequests, startUsersSite } from "@stairgauge/standins";
import { BUSY_MACHINE_TIMEOUT_MS, closers, waitFor } from "./box.testkit.js";
import { buildBundle, findStartArguments } from "./deployedBox.testkit.js";

/** Address without a store. A box starts without one, and is not ready. */
const NO_STORE = "127.0.0.1:1";
const FIRST_PORT = 18_700;
const PORT_USES = ["clients", "ready", "metrics", "peers"] as const;
/** Signals whose default action ends a process, and that ask for nothing that a box does. */
const OTHER_SIGNALS = [
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGIO",
  "SIGPROF",
  "SIGPWR",
  "SIGXCPU",
] as const satisfies readonly NodeJS.Signals[];

const SETTINGS = formatBoxSettings({
  name: "box-1",
  storeAddress: NO_STORE,
  firstPort: FIRST_PORT,
});
/** Part of the settings, in whose middle a value ends. */
const CUT_SETTINGS = SETTINGS.slice(0, 200);

describe("the program of a box", () => {
  let folder: string;
  let settings: string;

  beforeAll(async () => {
    folder = mkdtempSync(join(tmpdir(), "stairgauge-"));
    settings = join(folder, "box.yaml");
    await buildBundle();
  }, BUSY_MACHINE_TIMEOUT_MS);
  beforeEach(() => writeFileSync(settings, SETTINGS));
  afterAll(() => rmSync(folder, { recursive: true }));

  const start = async (args: readonly string[]) => {
    const box = spawnProcess([...args, "--settings", settings]);
    const [line] = await box.waitForLine(/.*"event":"starting".*/);
    await box.waitForLine(/"event":"started"/);
    box.kill("SIGKILL");
    await box.waitForExit();
    return (JSON.parse(line) as { keptCode: string }).keptCode;
  };

  it("uses the code cache that the build stored", async () => {
    expect(await start(findStartArguments())).toBe("used");
  });

  it("starts without the code cache if the runtime rejects it, and logs that", async () => {
    const script = findStartArguments().at(-1)!;
    expect(await start(["--no-opt", script])).toBe("refused");
  });

  // Guards against a bench that waits forever since the box has closed some of its streams unread.
  it(
    "serves the streams of bench:forward, which ends",
    async () => {
      const durations = ["--seconds", "1", "--repeats", "1", "--warm-up", "0"];
      const bench = spawnProcess([
        "packages/measure/dist/benchForwardMain.js",
        ...durations,
      ]);
      const code = await bench.waitForExit();
      expect({ code, lines: bench.listLines() }).toMatchObject({ code: 0 });
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  /** Starts a box that the test ends. */
  const startBox = (args: readonly string[] = []): SpawnedProcess => {
    const command = findStartArguments();
    const box = spawnProcess([...args, ...command, "--settings", settings]);
    closers.push(async () => {
      box.kill("SIGKILL");
      await box.waitForExit();
    });
    return box;
  };
  /** Takes one of the box's ports until it is released or the test ends. */
  const takePortFor = async (use: (typeof PORT_USES)[number]) => {
    const releasePort = await takePort(FIRST_PORT + PORT_USES.indexOf(use));
    closers.push(releasePort);
    return releasePort;
  };
  const findStatus = (port: number) =>
    fetch(`http://127.0.0.1:${port}${READY_PATH}`).then(
      ({ status }) => status,
      () => undefined,
    );
  /** Has a box run these statements right after it has first read a file with this name. */
  const writeHook = (file: string, statements: string) => {
    const hook = join(folder, "hook.cjs");
    writeFileSync(
      hook,
      `const fs = require("node:fs");
const { readFileSync } = fs;
let isRead = false;
fs.readFileSync = (path, ...more) => {
  const text = readFileSync(path, ...more);
  if (isRead || !String(path).endsWith(${JSON.stringify(file)})) return text;
  isRead = true;
  ${statements}
  return text;
};
`,
    );
    return ["--require", hook];
  };

  // Guards against a box that ends because the process before it still holds a port.
  it.each(PORT_USES)("waits until its port for %s is free", async (use) => {
    const releasePort = await takePortFor(use);
    const box = startBox();
    await box.waitForLine(new RegExp(`"listener":"${use}".*"event":"address_in_use"`));
    releasePort();
    await box.waitForLine(/"event":"started"/);
  });

  // Guards against clients without an answer while a port is awaited that they don't need.
  it.each(["ready", "metrics", "peers"] as const)(
    "answers clients while its port for %s is in use",
    async (use) => {
      await takePortFor(use);
      const box = startBox();
      await box.waitForLine(/"event":"address_in_use"/);
      await waitFor(async () => (await findStatus(FIRST_PORT)) !== undefined);
      expect(box.listLines().join("\n")).not.toContain('"event":"started"');
    },
  );

  // Guards against a box that ends because its settings are written at the moment of its start.
  it.each([
    ["there", undefined],
    ["whole", CUT_SETTINGS],
  ])("waits until its settings are %s", async (_what, text) => {
    if (text === undefined) rmSync(settings);
    else writeFileSync(settings, text);
    const box = startBox();
    await box.waitForLine(/waiting for the settings/);
    writeFileSync(settings, SETTINGS);
    await box.waitForLine(/"event":"started"/);
  });

  // Guards against a box that ends since nobody reads what it writes while it waits.
  it("starts when its settings are there although its output is closed", async () => {
    rmSync(settings);
    const command = findStartArguments();
    const box = spawn(process.execPath, [...command, "--settings", settings]);
    closers.push(() => box.kill("SIGKILL"));
    box.stdout.destroy();
    box.stderr.destroy();
    let isEnded = false;
    box.once("exit", () => (isEnded = true));
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    writeFileSync(settings, SETTINGS);
    await waitFor(
      async () => isEnded || (await findStatus(FIRST_PORT + 1)) !== undefined,
    );
    expect(isEnded).toBe(false);
  });

  // Guards against a box that ends because all boxes are told to read their settings again while it starts.
  it.each(["box.cjs", "box.yaml"])("survives SIGHUP while it reads %s", async (file) => {
    const hook = writeHook(file, 'process.kill(process.pid, "SIGHUP");');
    await startBox(hook).waitForLine(/"event":"started"/);
  });

  // Guards against settings that are lost because they are written between the first read and the watch.
  it("reads settings again that change right after it has read them", async () => {
    const hook = writeHook("box.yaml", 'fs.appendFileSync(path, "# changed\\n");');
    await startBox(hook).waitForLine(/"event":"settings_reloaded"/);
  });

  // Guards against a stop that ends as a failure because the box has not started yet.
  it("ends with status 0 if SIGTERM comes while it reads its program", async () => {
    const hook = writeHook("box.cjs", 'process.kill(process.pid, "SIGTERM");');
    expect(await startBox(hook).waitForExit()).toBe(0);
  });
  it("ends with status 0 if SIGTERM comes while it waits for its settings", async () => {
    rmSync(settings);
    const box = startBox();
    await box.waitForLine(/waiting for the settings/);
    box.kill("SIGTERM");
    expect(await box.waitForExit()).toBe(0);
  });
  it.each(PORT_USES)(
    "ends with status 0 if SIGTERM comes while it waits for its port for %s",
    async (use) => {
      await takePortFor(use);
      const box = startBox();
      await box.waitForLine(/"event":"address_in_use"/);
      box.kill("SIGTERM");
      expect(await box.waitForExit()).toBe(0);
    },
  );

  // Guards against a stop that is cut because further signals come meanwhile.
  it("ends with status 0 while SIGHUP and SIGTERM come in series", async () => {
    const box = startBox();
    await box.waitForLine(/"event":"started"/);
    const signals = setInterval(() => {
      box.kill("SIGHUP");
      box.kill("SIGTERM");
    }, 50);
    const code = await box.waitForExit();
    clearInterval(signals);
    expect(code).toBe(0);
  });

  // Guards against a process that stays although it serves no longer, because a step of its stop has failed.
  it("ends with status 1 although its stop fails", async () => {
    const hook = join(folder, "hook.cjs");
    writeFileSync(
      hook,
      `require("node:http").Server.prototype.closeAllConnections = () => {
  throw new Error("the stop fails");
};
`,
    );
    const box = startBox(["--require", hook]);
    await box.waitForLine(/"event":"started"/);
    box.kill("SIGTERM");
    expect(await box.waitForExit()).toBe(1);
    expect(box.listLines().join("\n")).toContain("the stop fails");
  });

  // Guards against a restart that fails because the process before finishes its requests first.
  it("starts beside a process that holds its ports until its streams have ended", async () => {
    const site = await startUsersSite({ engines: 1, services: 1 });
    closers.push(site.close);
    site.putConfiguration();
    writeFileSync(
      settings,
      formatBoxSettings({
        name: "box-1",
        storeAddress: site.store.address,
        firstPort: FIRST_PORT,
      }),
    );
    const former = startBox();
    await waitFor(async () => (await findStatus(FIRST_PORT + 1)) === 200);
    const stream = sendRequests(FIRST_PORT, {
      kind: { events: 300 },
      count: 1,
      atOnce: 1,
    });
    await waitFor(() => site.engines[0]!.countRunning() === 1);
    former.kill("SIGTERM");
    const next = startBox();
    await next.waitForLine(/"event":"address_in_use"/);
    await stream;
    expect(await former.waitForExit()).toBe(0);
    await next.waitForLine(/"event":"started"/);
    await sendRequests(FIRST_PORT, { kind: "plain", count: 1, atOnce: 1 });
  });

  // Guards against a box that ends by, or opens a debugger for, a signal that was meant for another program.
  it.each(OTHER_SIGNALS)("logs and ignores %s", async (signal) => {
    const box = startBox();
    await box.waitForLine(/"event":"started"/);
    box.kill(signal);
    await box.waitForLine(/"event":"signal_ignored"/);
    expect(box.listLines().join("\n")).not.toContain("Debugger");
  });
});
