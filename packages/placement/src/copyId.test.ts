import { describe, expect, it } from "vitest";
import { findCopiedRun, toCopyId } from "./index.js";

describe("the id of a copy", () => {
  it("names its run, and no other id does", () => {
    expect(findCopiedRun(toCopyId("r1"))).toBe("r1");
    expect(findCopiedRun("r1")).toBeUndefined();
  });
});
