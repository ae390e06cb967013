import { describe, expect, it } from "vitest";
import { findCopiedRun, toCopyId } from "./index.js";

describe("copy ids", () => {
  it("are resolved to the run's id, and other ids are not", () => {
    expect(findCopiedRun(toCopyId("r1"))).toBe("r1");
    expect(findCopiedRun("r1")).toBeUndefined();
  });
});
