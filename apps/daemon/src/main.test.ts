/** The daemon's command line, as a process. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { spawnProcess } from "@stairgauge/testkit";

const MAIN = fileURLToPath(new URL("../dist/main.js", import.meta.url));
const EXAMPLE = fileURLToPath(new URL("../../../examples/box-1.yaml", import.meta.url));

let folder: string;
beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), "stairgauge-settings-"));
});
afterAll(() => rmSync(folder, { recursive: true }));

const runMain = async (args: readonly string[]) => {
  const process = spawnProcess([MAIN, ...args]);
  const code = await process.waitForExit();
  return { code, output: process.listLines().join("\n") };
};

const runWithSettings = (text: string) => {
  const file = join(folder, "settings.yaml");
  writeFileSync(file, text);
  return runMain(["--settings", file, "--check"]);
};

describe("stairgauged", () => {
  const example = readFileSync(EXAMPLE, "utf8");

  it("checks the example's settings", async () => {
    expect(await runMain(["--settings", EXAMPLE, "--check"])).toMatchObject({ code: 0 });
  });

  it.each([
    ["an unknown key", `${example}colour: red\n`, "colour: no such setting"],
    [
      "an unknown nested key",
      example.replace("table:", "tabel:"),
      "platform.tabel: no such setting",
    ],
    [
      "an address by name",
      example.replace("127.0.0.1:8080", "localhost:80"),
      "listen: expected IP:PORT",
    ],
    [
      "a short secret",
      example.replace(/secret: .*/, "secret: x"),
      "resumeKeys.0.secret: expected at least",
    ],
    ["no YAML", "a: [", "not YAML"],
    [
      "a missing TLS file",
      `${example}tls: { certFile: /none, keyFile: /none }\n`,
      "tls.certFile",
    ],
  ])("names %s, what was expected, and exits with 2", async (_what, text, message) => {
    const { code, output } = await runWithSettings(text);
    expect(output).toContain(message);
    expect(code).toBe(2);
  });

  it("exits with 2 for wrong arguments, and 0 for --help and --version", async () => {
    expect(await runMain([])).toMatchObject({ code: 2 });
    expect(await runMain(["--settings", "/none", "--check"])).toMatchObject({ code: 2 });
    expect(await runMain(["--help"])).toMatchObject({ code: 0 });
    expect(await runMain(["--version"])).toMatchObject({ code: 0, output: "0.1.0" });
  });
});
