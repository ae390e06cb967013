import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { awaitSettings } from "./awaitSettings.js";
import { parseBoxSettings } from "./parseSettings.js";

const SETTINGS = `box: box-1
dataHall: brest
listen: { clients: "10.1.0.1:80", ready: "10.1.0.1:81", metrics: "10.1.0.1:82", peers: "10.1.0.1:83" }
store: { address: "10.2.0.1:80" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

const folders: string[] = [];
afterEach(() => {
  for (const folder of folders.splice(0)) rmSync(folder, { recursive: true });
});

const setUp = (text: string) => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-"));
  folders.push(folder);
  const path = join(folder, "box.yaml");
  writeFileSync(path, text);
  const clock = createVirtualClock();
  const reasons: string[] = [];
  let found: string | undefined;
  void awaitSettings({
    path,
    parse: parseBoxSettings,
    clock,
    onWaiting: (reason) => reasons.push(reason),
    onFailed: (reason) => {
      throw new Error(reason);
    },
  }).then(
    (read) => (found = read.text),
    (error: unknown) => (found = String(error)),
  );
  return { path, clock, reasons, getFound: () => found };
};

describe("awaitSettings", () => {
  // Guards against a box that waits for ever with settings that nobody mends, or without naming their faults at once.
  it("names each fault at once, and all of them once more at its end", async () => {
    const text = SETTINGS.replace("box: box-1", "box: 1").replace(
      "slack: 54",
      "slack: a",
    );
    const { clock, reasons, getFound } = setUp(text);
    await advanceSettled(clock, 59_000 as Ms);
    expect(reasons).toHaveLength(1);
    expect(reasons[0]).toMatch(/\nbox: .*\nretries\.slack: /);
    expect(getFound()).toBeUndefined();
    await advanceSettled(clock, 2_000 as Ms);
    expect(getFound()).toContain(reasons[0]);
  });

  // Guards against a box that starts with half a value: "windowSeconds: 1" is valid, and the beginning of 10.
  it("waits for the rest of a file that ends in its middle, wherever that is", async () => {
    const text = SETTINGS.replace(
      /retries: .*/,
      "retries:\n  ratio: 0.2\n  slack: 54\n  windowSeconds: 10",
    );
    for (let length = 0; length < text.length; length += 1) {
      const { path, clock, getFound } = setUp(text.slice(0, length));
      await advanceSettled(clock, 500 as Ms);
      expect(getFound()).toBeUndefined();
      writeFileSync(path, text);
      await advanceSettled(clock, 500 as Ms);
      expect(getFound()).toBe(text);
    }
  });

  it("takes a file without an end of its last line once it stays the same", async () => {
    const { clock, getFound } = setUp(SETTINGS.trimEnd());
    await advanceSettled(clock, 2_000 as Ms);
    expect(getFound()).toBe(SETTINGS.trimEnd());
  });
});
