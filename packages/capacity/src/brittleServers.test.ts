import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createBrittleServers } from "./brittleServers.js";
import type { BrittleEvent } from "./types.js";

const SERVICE = "search" as ServiceName;
const ENTRY = { id: "a" as ServerId, service: SERVICE };

const setUp = () => {
  const clock = createVirtualClock();
  const events: BrittleEvent[] = [];
  const brittle = createBrittleServers({ clock, onEvent: (event) => events.push(event) });
  return { clock, events, brittle };
};

describe("createBrittleServers", () => {
  it("records a statement until an answer to a later request comes without it, and reports both once", () => {
    const { clock, events, brittle } = setUp();
    clock.advance(100 as Ms);
    brittle.recordSaid(ENTRY, 4);
    brittle.recordSaid(ENTRY, 4);
    clock.advance(10 as Ms);
    brittle.recordUnsaid(ENTRY, 20 as Ms);
    expect(brittle.list(SERVICE)).toEqual(["a"]);
    clock.advance(100 as Ms);
    brittle.recordUnsaid(ENTRY, 20 as Ms);
    expect(brittle.isServiceBrittle(SERVICE)).toBe(false);
    expect(events).toEqual([
      { kind: "brittle", server: "a", maxRejected: 4, age: 0 },
      { kind: "brittle_over", server: "a" },
    ]);
  });

  it("takes another box's statement by its age, unless an answer since was without it", () => {
    const { clock, brittle } = setUp();
    clock.advance(1_000 as Ms);
    brittle.applyShared(ENTRY, 300 as Ms);
    expect(brittle.isBrittle(ENTRY.id)).toBe(true);
    brittle.recordUnsaid(ENTRY, 100 as Ms);
    brittle.applyShared(ENTRY, 200 as Ms);
    expect(brittle.isBrittle(ENTRY.id)).toBe(false);
    brittle.applyShared(ENTRY, 50 as Ms);
    expect(brittle.isBrittle(ENTRY.id)).toBe(true);
  });

  it("expires after ten seconds without a statement", () => {
    const { clock, brittle } = setUp();
    brittle.recordSaid(ENTRY, 4);
    clock.advance(10_001 as Ms);
    expect(brittle.isBrittle(ENTRY.id)).toBe(false);
  });
});
