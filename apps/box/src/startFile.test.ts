/** The program that the users' platform starts: built as deploy/system.toml says, and started with its words. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { spawnProcess } from "@stairgauge/testkit";
import { formatBoxSettings } from "@stairgauge/standins";

const DEPLOYMENT = readFileSync("deploy/system.toml", "utf8");
/** No store answers there: a box starts all the same, and is not ready. */
const NO_STORE = "127.0.0.1:1";
const FIRST_PORT = 18_700;

/** Words behind `node` in the command whose script has the name given. */
const findWords = (script: RegExp): readonly string[] => {
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
    const build = spawnProcess(findWords(/deploy\/build\.js/));
    expect(await build.waitForExit()).toBe(0);
  });
  afterAll(() => rmSync(folder, { recursive: true }));

  const start = async (words: readonly string[]) => {
    const box = spawnProcess([...words, "--settings", settings]);
    const [line] = await box.waitForLine(/.*"event":"starting".*/);
    await box.waitForLine(/"event":"started"/);
    box.kill("SIGKILL");
    await box.waitForExit();
    return (JSON.parse(line) as { keptCode: string }).keptCode;
  };

  it("uses the machine code that its build kept", async () => {
    expect(await start(findWords(/target\/stairgauged\.cjs/))).toBe("used");
  });

  it("starts without it where the runtime refuses it, and says so", async () => {
    const script = findWords(/target\/stairgauged\.cjs/).at(-1)!;
    expect(await start(["--no-opt", script])).toBe("refused");
  });
});
