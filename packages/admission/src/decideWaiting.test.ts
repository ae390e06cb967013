/**
 * Guards against refusing the request that goes next: the few requests of a small workspace, first in the queue by fair
 * share, were refused as no_room with 7 ms to wait, since they had taken some of their time to reach the queue.
 */
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { decideWaiting, type WaitInputs } from "./decideWaiting.js";

const OVERLOAD: WaitInputs = {
  now: 50 as Ms,
  entry: {
    arrivedAt: 0 as Ms,
    aimAt: 200 as Ms,
    endsAt: 600 as Ms,
    workMs: 140 as Ms,
  },
  position: 0,
  rate: 0.133,
  arrivalsAbove: 0,
  arrivalsUpTo: 0.27,
};

describe("decideWaiting under overload", () => {
  it("lets the request wait that goes next, although it may be late", () => {
    expect(decideWaiting(OVERLOAD).refusal).toBeUndefined();
  });

  it("refuses a request behind others that would be late", () => {
    expect(decideWaiting({ ...OVERLOAD, position: 1 }).refusal).toBe("no_room");
  });

  it("refuses the request that goes next if it can't be answered before its deadline", () => {
    const late = { ...OVERLOAD, now: 470 as Ms };
    expect(decideWaiting(late).refusal).toBe("too_late");
  });
});
