import { describe, expect, it } from "vitest";
import { parseBoxSettings } from "./index.js";

const VALID_SETTINGS = `
box: edge-1
dataHall: brest
listen: { clients: "10.1.0.1:80", ready: "10.1.0.1:81", metrics: "10.1.0.1:82", peers: "10.1.0.1:83" }
store: { address: "10.2.0.1:80" }
bounds: { configurationMs: 2000, keyRemovalMs: 5000, leavingMs: 2000, stopSeconds: 8 }
retries: { ratio: 0.2, slack: 54, windowSeconds: 10 }
`;

describe("parseBoxSettings", () => {
  it("fills in the defaults of settings that are missing", () => {
    const parsed = parseBoxSettings(VALID_SETTINGS);
    expect(parsed.ok && parsed.val).toMatchObject({
      store: { hearers: 2, serversWaitMs: 10_000 },
      engines: { reportIntervalMs: 2_000 },
      carrying: { descriptorShare: 0.125, heldMb: 16 },
      log: { level: "info", linesPerSecond: 200 },
    });
  });

  it.each([
    ["keyRemovalMs: 5000", true],
    ["keyRemovalMs: 5000, isKeyRemovalStrict: ", true],
    ["keyRemovalMs: 5000, isKeyRemovalStrict: true", true],
    ["keyRemovalMs: 5000, isKeyRemovalStrict: false", false],
  ])("sets isKeyRemovalStrict unless the file says false (%s)", (text, expected) => {
    const parsed = parseBoxSettings(VALID_SETTINGS.replace("keyRemovalMs: 5000", text));
    expect(parsed.ok && parsed.val.bounds.isKeyRemovalStrict).toBe(expected);
  });

  it.each([
    ["retries: {", "retries: { extra: 1,", "retries.extra"],
    ['"10.1.0.1:80"', '"edge-1:80"', "listen.clients"],
    ["stopSeconds: 8", "stopSeconds: -8", "bounds.stopSeconds"],
    ["box: edge-1", "", "box"],
    [
      "box: edge-1",
      "box: a\ncarrying: { descriptorShare: 0.9 }",
      "carrying.descriptorShare",
    ],
  ])("returns the path of an invalid setting (%s)", (from, to, path) => {
    const parsed = parseBoxSettings(VALID_SETTINGS.replace(from, to));
    expect(parsed.err && parsed.val).toMatchObject({
      kind: "invalid_settings",
      faults: [{ path }],
    });
  });

  it("returns not_yaml for a text that is not YAML", () => {
    expect(parseBoxSettings("box: [").val).toMatchObject({ kind: "not_yaml" });
  });
});
