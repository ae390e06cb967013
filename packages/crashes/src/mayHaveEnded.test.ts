import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { mayHaveEnded } from "./index.js";

describe("mayHaveEnded", () => {
  it.each<[string, number | undefined, number, boolean]>([
    ["had not begun", undefined, 0, true],
    ["had just begun", 120, 2, true],
    ["waited long for its next event", 4_000, 1, true],
    ["had been carried for seconds", 5_001, 1, false],
    ["had made many events quickly", 300, 33, false],
  ])("judges a request that %s", (_, ranFor, events, expected) => {
    expect(mayHaveEnded({ ranFor: ranFor as Ms | undefined, events })).toBe(expected);
  });
});
