import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createIdleConnections } from "./idleConnections.js";

const LONG = 250 as Ms;
const MIN_IDLE = { unused: LONG, used: LONG, unread: Infinity as Ms };

describe("createIdleConnections", () => {
  it("takes those that have sent no request first, the longest idle of them, and none that has just come", () => {
    const clock = createVirtualClock();
    const idle = createIdleConnections<string>(clock, MIN_IDLE);
    idle.add("kept", "used");
    clock.advance(1 as Ms);
    idle.add("silent", "unused");
    idle.add("also silent", "unused");
    expect([idle.canTake(), idle.take()]).toEqual([false, undefined]);
    clock.advance(LONG);
    idle.add("new", "unused");
    expect([1, 2, 3, 4].map(() => idle.take())).toEqual([
      "silent",
      "also silent",
      "kept",
      undefined,
    ]);
    clock.advance(LONG);
    expect(idle.take()).toBe("new");
  });

  it("takes none that has a request", () => {
    const clock = createVirtualClock();
    const idle = createIdleConnections<string>(clock, MIN_IDLE);
    idle.add("busy", "unused");
    idle.remove("busy");
    clock.advance(LONG);
    expect(idle.canTake()).toBe(false);
  });

  it("takes one whose answer is not read only where the listener allows it, and last", () => {
    const clock = createVirtualClock();
    const kept = createIdleConnections<string>(clock, MIN_IDLE);
    const closed = createIdleConnections<string>(clock, { ...MIN_IDLE, unread: LONG });
    for (const idle of [kept, closed]) {
      idle.add("reads nothing", "used");
      idle.add("reads nothing", "unread");
      idle.add("kept", "used");
    }
    clock.advance(LONG);
    expect([kept.take(), kept.take()]).toEqual(["kept", undefined]);
    expect([closed.take(), closed.take()]).toEqual(["kept", "reads nothing"]);
  });
});
