/**
 * The program that the platform starts, built and started with the commands of
 * deploy/system.toml.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { spawnProcess } from "@stairgauge/testkit";
import { formatBoxSettings } from "@stairgauge/standins";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";

const DEPLOYMENT = readFileSync("deploy/system.toml", "utf8");
/** Address without a store. A box starts without one, and is not ready. */
const NO_STORE = "127.0.0.1:1";
const FIRST_PORT = 18_700;

/** Finds the arguments after `node` in the command that runs the script. */
const findArguments = (script: RegExp): readonly string[] => {
  const match = new RegExp(`node ((?:--\\S+ )*\\S*${script.source})`).exec(DEPLOYMENT);
  if (!match) throw new TypeError(`deploy/system.toml starts no ${script.source}`);
  return match[1]!.split(" ");
};

describe("the program of a box", () => {
  let folder: string;
  let settings: string;

  beforeAll(async () => {
    folder = mkdtempSync(join(tmpdir(), "stairgauge-"));
    settings = join(folder, "box.yaml");
    writeFileSync(
      settings,
      formatBoxSettings({ name: "box-1", storeAddress: NO_STORE, firstPort: FIRST_PORT }),
    );
    const build = spawnProcess(findArguments(/deploy\/build\.js/));
    expect(await build.waitForExit()).toBe(0);
  }, BUSY_MACHINE_TIMEOUT_MS);
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
    expect(await start(findArguments(/target\/stairgauged\.cjs/))).toBe("used");
  });

  it("starts without the code cache if the runtime rejects it, and logs that", async () => {
    const script = findArguments(/target\/stairgauged\.cjs/).at(-1)!;
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
});
