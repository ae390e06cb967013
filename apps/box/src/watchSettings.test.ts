import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createLineLog } from "./lineLog.testkit.js";
import { watchSettings } from "./watchSettings.js";

const makeText = (slack: number | string) => `
box: edge-1
dataHall: brest
listen: { clients: "10.1.0.1:80", ready: "10.1.0.1:81", metrics: "10.1.0.1:82", peers: "10.1.0.1:83" }
store: { address: "10.2.0.1:80" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
retries: { ratio: 0.2, slack: ${slack}, windowSeconds: 10 }
`;

const folders: string[] = [];
afterEach(() => {
  process.removeAllListeners("SIGHUP");
  for (const folder of folders.splice(0)) rmSync(folder, { recursive: true });
});

const setUp = () => {
  const folder = mkdtempSync(join(tmpdir(), "stairgauge-"));
  folders.push(folder);
  const path = join(folder, "box.yaml");
  writeFileSync(path, makeText(54));
  const clock = createVirtualClock();
  const slacks: number[] = [];
  const events: string[] = [];
  const write = (event: string) => void events.push(event);
  watchSettings({
    path,
    text: makeText(54),
    clock,
    log: createLineLog(write),
    onChanged: ({ retries }) => slacks.push(retries.slack),
  });
  return { path, clock, slacks, events };
};

describe("watchSettings", () => {
  it("applies a changed file without a signal", () => {
    const { path, clock, slacks } = setUp();
    writeFileSync(path, makeText(1_000));
    clock.advance(1_000 as Ms);
    expect(slacks).toEqual([1_000]);
  });

  it("applies a file that replaces the former one by a rename", () => {
    const { path, clock, slacks } = setUp();
    clock.advance(1_000 as Ms);
    writeFileSync(`${path}.new`, makeText(99));
    renameSync(`${path}.new`, path);
    clock.advance(1_000 as Ms);
    expect(slacks).toEqual([99]);
  });

  it("applies a changed file on SIGHUP, and an unchanged one only once", () => {
    const { path, slacks } = setUp();
    process.emit("SIGHUP");
    writeFileSync(path, makeText(77));
    process.emit("SIGHUP");
    process.emit("SIGHUP");
    expect(slacks).toEqual([77]);
  });

  it("keeps the active settings if the new ones are invalid, and logs that", () => {
    const { path, slacks, events } = setUp();
    writeFileSync(path, makeText("many"));
    process.emit("SIGHUP");
    expect(slacks).toEqual([]);
    expect(events).toEqual(["settings_refused"]);
  });
});
