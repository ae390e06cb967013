import { describe, expect, it } from "vitest";
import { createBodyMemory } from "./bodyMemory.js";

describe("createBodyMemory", () => {
  it("keeps requests that would be refused to an eighth, and frees what a request has taken", () => {
    const memory = createBodyMemory(800);
    const refused = memory.open(false);
    expect([refused.take(100), refused.take(1)]).toEqual([true, false]);
    const admitted = memory.open(true);
    expect([admitted.take(700), admitted.fits(1)]).toEqual([true, false]);
    refused.release();
    expect([admitted.take(100), admitted.take(1)]).toEqual([true, false]);
  });

  it("lets nothing be taken once it was freed", () => {
    const memory = createBodyMemory(100);
    const share = memory.open(true);
    share.release();
    expect(share.take(1)).toBe(false);
    expect(memory.open(true).take(100)).toBe(true);
  });
});
