import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { mayHaveCrashedServer } from "./index.js";

describe("mayHaveCrashedServer", () => {
  it.each<[string, number | undefined, number, boolean]>([
    ["had not begun", undefined, 0, true],
    ["had just begun", 120, 2, true],
    ["had waited long for its next event", 4_000, 1, true],
    ["had run for more than 5 s", 5_001, 1, false],
    ["had produced many events quickly", 300, 33, false],
  ])("decides on a request that %s", (_, ranFor, events, expected) => {
    expect(mayHaveCrashedServer({ ranFor: ranFor as Ms | undefined, events })).toBe(
      expected,
    );
  });
});
