import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createIdleConnections } from "./idleConnections.js";

const LONG = 250 as Ms;

describe("createIdleConnections", () => {
  it("takes those that have sent no request first, the longest idle of them, and none that has just come", () => {
    const clock = createVirtualClock();
    const idle = createIdleConnections<string>(clock);
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
    const idle = createIdleConnections<string>(clock);
    idle.add("busy", "unused");
    idle.remove("busy");
    clock.advance(LONG);
    expect(idle.canTake()).toBe(false);
  });
});
