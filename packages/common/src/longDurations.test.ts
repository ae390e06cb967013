/** Guards against a limit longer than the platform's timers can hold, as in "no limit", that ends a wait at once. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createSystemClock } from "./clock.js";
import type { Ms } from "./types.js";
import { createVirtualClock } from "./virtualClock.js";

const DAY_MS = 86_400_000;
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

describe.each(["setTimer", "setTimeLimit"] as const)("%s of the system clock", (set) => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it.each([2 ** 31, 1e12, 1e300, Infinity])("doesn't fire %d ms early", (delay) => {
    const onFire = vi.fn();
    createSystemClock()[set](delay as Ms, onFire);
    vi.advanceTimersByTime(DAY_MS);
    expect(onFire).not.toHaveBeenCalled();
  });

  it.each([MAX_TIMEOUT_MS, MAX_TIMEOUT_MS + 1, 2 * MAX_TIMEOUT_MS + 1])(
    "fires once after %d ms, not before",
    (delay) => {
      const onFire = vi.fn();
      createSystemClock()[set](delay as Ms, onFire);
      vi.advanceTimersByTime(delay - 1);
      expect(onFire).not.toHaveBeenCalled();
      vi.advanceTimersByTime(DAY_MS);
      expect(onFire).toHaveBeenCalledOnce();
    },
  );

  it.each([1, MAX_TIMEOUT_MS + 1])("is cancelled after %d ms", (elapsed) => {
    const onFire = vi.fn();
    const timer = createSystemClock()[set]((2 * MAX_TIMEOUT_MS + 1) as Ms, onFire);
    vi.advanceTimersByTime(elapsed);
    timer.cancel();
    expect(vi.getTimerCount()).toBe(0);
  });
});

describe("a timer of the virtual clock without an end", () => {
  it("is not stepped to", () => {
    const clock = createVirtualClock();
    const onFire = vi.fn();
    clock.setTimer(Infinity as Ms, onFire).cancel();
    clock.setTimeLimit(Infinity as Ms, onFire);
    expect(clock.getNextAt()).toBeUndefined();
    expect(clock.step()).toBe(false);
    expect(onFire).not.toHaveBeenCalled();
  });
});
