import { describe, expect, it } from "vitest";
import { createVirtualClock, type BoxName, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createLimitRegistry } from "./limitRegistry.js";
import type { LimitEvent, LimitUpdate, LimitSignal, SharedLimit } from "./types.js";

const SERVER = "page-0@1" as ServerId;
const UNLISTED = "page-9@1" as ServerId;
const OTHER = "box-2" as BoxName;
const UNNAMED: LimitSignal = { kind: "unnamed" };
const makeNamed = (perSecond: number): LimitSignal => ({ kind: "named", perSecond });
const AT_ONCE = 0 as Ms;

const setUp = () => {
  const clock = createVirtualClock();
  const events: LimitEvent[] = [];
  const own: LimitUpdate[] = [];
  const shared: LimitUpdate[] = [];
  const renewals: LimitUpdate[] = [];
  const registry = createLimitRegistry({
    clock,
    isListed: (server) => server !== UNLISTED,
    onOwnUpdate: (update) => own.push(update),
    onSharedUpdate: (update, isRenewal) => {
      shared.push(update);
      if (isRenewal) renewals.push(update);
    },
    onEvent: (event) => events.push(event),
  });
  const listKinds = () => events.map(({ kind }) => kind);
  return { clock, registry, events, listKinds, own, shared, renewals };
};

describe("createLimitRegistry with answers to this box", () => {
  it("records a limit from the first answer with it and emits one event", () => {
    const { clock, registry, events } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(700 as Ms);
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(100 as Ms);
    expect(registry.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 800, age: 100 });
    expect(events).toEqual([
      { kind: "named", server: SERVER, perSecond: 1.7, age: 0, by: undefined },
    ]);
  });

  it("applies a changed value at once", () => {
    const { registry, listKinds } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    registry.applySignal(SERVER, makeNamed(0.4), AT_ONCE);
    expect(registry.find(SERVER)?.perSecond).toBe(0.4);
    expect(listKinds()).toEqual(["named", "changed"]);
  });

  it("does not lift a limit by an answer to a request that was sent before the last answer with the limit", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(7_000 as Ms);
    for (let i = 0; i < 5; i += 1) registry.applySignal(SERVER, UNNAMED, 7_001 as Ms);
    expect(registry.find(SERVER)?.perSecond).toBe(1.7);
    registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    expect(registry.find(SERVER)).toBeUndefined();
  });

  it("lifts a limit after three answers in a row without it, 2 s after the last answer with it, and not after fewer", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(2_100 as Ms);
    registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    expect(registry.find(SERVER)).toBeDefined();
    registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    expect(registry.find(SERVER)).toBeUndefined();
  });

  it("does not lift a limit by answers in a row that came within 2 s of the last answer with it", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(140), AT_ONCE);
    for (let i = 0; i < 50; i += 1) {
      clock.advance(30 as Ms);
      registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    }
    expect(registry.find(SERVER)).toBeDefined();
  });

  it("does not lift a limit that the server names in every second answer", () => {
    const { clock, registry, listKinds } = setUp();
    for (let i = 0; i < 40; i += 1) {
      registry.applySignal(SERVER, i % 2 === 0 ? makeNamed(1.9) : UNNAMED, 20 as Ms);
      clock.advance(600 as Ms);
    }
    expect(listKinds()).toEqual(["named"]);
  });

  it("keeps a limit longer if the server accepts fewer requests", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(0.4), AT_ONCE);
    clock.advance(7_000 as Ms);
    registry.applySignal(SERVER, UNNAMED, AT_ONCE);
    expect(registry.find(SERVER)).toBeDefined();
    clock.advance(500 as Ms);
    registry.applySignal(SERVER, UNNAMED, AT_ONCE);
    expect(registry.find(SERVER)).toBeUndefined();
  });

  it("keeps the limit on record when the server names an invalid one, and reports that once", () => {
    const { clock, registry, listKinds } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(9_000 as Ms);
    for (let i = 0; i < 3; i += 1)
      registry.applySignal(SERVER, { kind: "unreadable", text: "NaN" }, AT_ONCE);
    expect(registry.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 9_000, age: 0 });
    expect(listKinds()).toEqual(["named", "unreadable"]);
  });

  it("reports an invalid limit once even with other answers between, and reports a different invalid limit again", () => {
    const { registry, listKinds } = setUp();
    for (const text of ["NaN", "NaN", "-1", "-1"]) {
      registry.applySignal(SERVER, { kind: "unreadable", text }, AT_ONCE);
      registry.applySignal(SERVER, UNNAMED, AT_ONCE);
    }
    expect(listKinds()).toEqual(["unreadable", "unreadable"]);
  });

  it("does not lift a limit by calls in whose answers the server may omit it", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), undefined);
    clock.advance(9_000 as Ms);
    registry.applySignal(SERVER, UNNAMED, undefined);
    expect(registry.find(SERVER)).toBeDefined();
  });

  it("drops a limit that no box has received for long, and records it as new when it is named again", () => {
    const { clock, registry, listKinds } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(30_000 as Ms);
    expect(registry.find(SERVER)).toBeUndefined();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    expect(registry.find(SERVER)?.knownFor).toBe(0);
    expect(listKinds()).toEqual(["named", "run_out", "named"]);
  });

  it("has no limit for another start of the server, nor for a server that was forgotten", () => {
    const { registry, listKinds } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    expect(registry.find("page-0@2" as ServerId)).toBeUndefined();
    registry.forget(SERVER);
    registry.forget(SERVER);
    expect(registry.find(SERVER)).toBeUndefined();
    expect(listKinds()).toEqual(["named", "dropped"]);
  });
});

const makeShared = (changes: Partial<SharedLimit> = {}): LimitUpdate => ({
  named: [
    {
      server: SERVER,
      perSecond: 1.7,
      knownFor: 800 as Ms,
      age: 100 as Ms,
      ...changes,
    },
  ],
  lifted: [],
});
const makeLift = (age: number): LimitUpdate => ({
  named: [],
  lifted: [{ server: SERVER, age: age as Ms }],
});

describe("createLimitRegistry with updates from other boxes", () => {
  it("records a shared limit with the ages that the other box reports", () => {
    const { clock, registry, events } = setUp();
    clock.advance(5_000 as Ms);
    registry.applyUpdate(makeShared(), OTHER);
    expect(registry.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 800, age: 100 });
    expect(events).toEqual([
      { kind: "named", server: SERVER, perSecond: 1.7, age: 100, by: OTHER },
    ]);
  });

  it("ignores shared limits of unlisted servers", () => {
    const { registry } = setUp();
    registry.applyUpdate(makeShared({ server: UNLISTED }), OTHER);
    expect(registry.isEmpty()).toBe(true);
  });

  it("keeps the most recently observed value, in whichever order updates arrive", () => {
    const { clock, registry } = setUp();
    clock.advance(5_000 as Ms);
    registry.applyUpdate(makeShared({ perSecond: 0.4, age: 10 as Ms }), OTHER);
    registry.applyUpdate(makeShared({ perSecond: 1.7, age: 900 as Ms }), OTHER);
    expect(registry.find(SERVER)?.perSecond).toBe(0.4);
    expect(registry.find(SERVER)?.age).toBe(10);
  });

  it("forwards a limit when it is new, and once per second while it is renewed", () => {
    const { clock, registry, own, shared, renewals } = setUp();
    for (let i = 0; i < 20; i += 1) {
      registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
      clock.advance(200 as Ms);
    }
    expect(own).toHaveLength(4);
    expect(shared).toHaveLength(4);
    expect(renewals).toEqual(shared.slice(1));
    registry.applyUpdate(makeShared({ age: 0 as Ms }), OTHER);
    expect(own).toHaveLength(4);
    expect(shared).toHaveLength(5);
  });

  it("stops forwarding when nothing is new, so that two boxes that forward everything to each other fall silent", () => {
    const one = setUp();
    const two = setUp();
    one.clock.advance(100 as Ms);
    two.clock.advance(100 as Ms);
    one.registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    for (let round = 0; round < 10; round += 1) {
      for (const update of one.shared.splice(0)) two.registry.applyUpdate(update, OTHER);
      for (const update of two.shared.splice(0)) one.registry.applyUpdate(update, OTHER);
    }
    expect(one.shared).toEqual([]);
    expect(two.registry.find(SERVER)?.perSecond).toBe(1.7);
  });

  it("lifts a limit by another box's observation after the last answer with the limit, and not by an earlier one", () => {
    const { clock, registry, events, shared } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(2_500 as Ms);
    registry.applyUpdate(makeLift(600), OTHER);
    expect(registry.find(SERVER)).toBeDefined();
    registry.applyUpdate(makeLift(400), OTHER);
    expect(registry.find(SERVER)).toBeUndefined();
    expect(events.at(-1)).toEqual({
      kind: "lifted",
      server: SERVER,
      age: 2_500,
      by: OTHER,
    });
    expect(shared.at(-1)).toEqual(makeLift(400));
  });

  it("records a limit named after a lift as new, even if a box that has not received the lift reports it as older", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(7_000 as Ms);
    registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    clock.advance(300 as Ms);
    registry.applyUpdate(makeShared({ knownFor: 7_300 as Ms, age: 10 as Ms }), OTHER);
    expect(registry.find(SERVER)?.knownFor).toBeLessThanOrEqual(320);
  });

  it("does not record a limit again from an observation before the lift that arrives late", () => {
    const { clock, registry } = setUp();
    registry.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(7_000 as Ms);
    registry.applySignal(SERVER, UNNAMED, 20 as Ms);
    registry.applyUpdate(makeShared({ age: 100 as Ms }), OTHER);
    expect(registry.find(SERVER)).toBeUndefined();
    registry.applyUpdate(makeShared({ age: 10 as Ms }), OTHER);
    expect(registry.find(SERVER)).toBeDefined();
  });
});
