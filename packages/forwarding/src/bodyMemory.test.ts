import { describe, expect, it } from "vitest";
import { createBodyMemory, type BodyMemory } from "./bodyMemory.js";

describe("createBodyMemory", () => {
  /** Opens the share of a body that is complete. */
  const openWhole = (memory: BodyMemory, isAdmitted: boolean) => {
    const share = memory.open({ isAdmitted, onGivenUp: () => undefined });
    share.finish();
    return share;
  };
  const openUnfinished = (memory: BodyMemory, isAdmitted = true) => {
    let isGivenUp = false;
    const share = memory.open({
      isAdmitted,
      onGivenUp: () => {
        isGivenUp = true;
      },
    });
    return { ...share, isGivenUp: () => isGivenUp };
  };

  it("keeps requests that would be refused to an eighth, and frees what a request has taken", () => {
    const memory = createBodyMemory(800);
    const refused = openWhole(memory, false);
    expect([refused.take(100), refused.take(1)]).toEqual([true, false]);
    const admitted = openWhole(memory, true);
    expect([admitted.take(700), admitted.fits(1)]).toEqual([true, false]);
    refused.release();
    expect([admitted.take(100), admitted.take(1)]).toEqual([true, false]);
  });

  it("lets nothing be taken once it was freed", () => {
    const memory = createBodyMemory(100);
    const share = openWhole(memory, true);
    share.release();
    expect(share.take(1)).toBe(false);
    expect(openWhole(memory, true).take(100)).toBe(true);
  });

  it("gives up the unfinished bodies that were begun first, as many as are needed", () => {
    const memory = createBodyMemory(100);
    const bodies = [1, 2, 3].map(() => openUnfinished(memory));
    for (const body of bodies) body.take(30);
    expect(openWhole(memory, true).take(40)).toBe(true);
    expect(bodies.map(({ isGivenUp }) => isGivenUp())).toEqual([true, false, false]);
    expect(bodies[0]!.take(1)).toBe(false);
    expect(bodies[1]!.take(20)).toBe(true);
    expect(bodies.map(({ isGivenUp }) => isGivenUp())).toEqual([true, false, true]);
  });

  it("gives up none if the bytes would not fit anyway", () => {
    const memory = createBodyMemory(100);
    openWhole(memory, true).take(50);
    const unfinished = openUnfinished(memory);
    unfinished.take(50);
    expect(openWhole(memory, true).take(60)).toBe(false);
    expect(unfinished.isGivenUp()).toBe(false);
  });

  it("gives up no body of an admitted request for one that would be refused", () => {
    const memory = createBodyMemory(800);
    const admitted = openUnfinished(memory);
    admitted.take(750);
    const first = openUnfinished(memory, false);
    first.take(50);
    expect(openUnfinished(memory, false).take(100)).toBe(false);
    expect(openUnfinished(memory, false).take(50)).toBe(true);
    expect([admitted.isGivenUp(), first.isGivenUp()]).toEqual([false, true]);
  });
});
