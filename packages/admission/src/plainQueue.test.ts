/** Plain requests: placed, waiting or refused at once. */
import { beforeEach, describe, expect, it } from "vitest";
import {
  createVirtualClock,
  type Ms,
  type ServiceName,
  type VirtualClock,
} from "@stairgauge/common";
import {
  createAdmissionQueue,
  createFairShares,
  type AdmissionEvent,
  type AdmissionQueue,
} from "./index.js";

const PLAIN = "plain" as ServiceName;

type Changes = Readonly<{
  tier?: number;
  workspace?: string;
  aim?: number;
  ends?: number;
  work?: number;
  service?: string;
}>;

describe("createAdmissionQueue with plain requests", () => {
  let clock: VirtualClock;
  let queue: AdmissionQueue;
  let free: number;
  let slots: number | undefined;
  let placed: string[];
  let isThrowing: boolean;
  let refused: (readonly [
    name: string,
    reason: string,
    at: number,
    retryAfter: number,
  ])[];
  let events: AdmissionEvent[];

  beforeEach(() => {
    clock = createVirtualClock();
    free = 0;
    slots = undefined;
    isThrowing = false;
    [placed, refused, events] = [[], [], []];
    queue = createAdmissionQueue({
      clock,
      shares: createFairShares(),
      retryAfter: 400 as Ms,
      countSlots: () => slots,
      onEvent: (event) => events.push(event),
    });
  });

  const add = (name: string, changes: Changes = {}) => {
    const now = clock.monotonic();
    return queue.add({
      kind: "plain",
      service: (changes.service ?? PLAIN) as ServiceName,
      tier: changes.tier ?? 1,
      workspace: changes.workspace ?? "own",
      subject: "key",
      cost: 50,
      arrivedAt: now,
      aimAt: (now + (changes.aim ?? 300)) as Ms,
      endsAt: (now + (changes.ends ?? 1_000)) as Ms,
      workMs: (changes.work ?? 50) as Ms,
      attempt: () => {
        if (name === "odd" && isThrowing) throw new Error("odd");
        if (free === 0) return false;
        free -= 1;
        placed.push(name);
        return true;
      },
      refuse: (retryAfter, reason) =>
        refused.push([name, reason, clock.monotonic(), retryAfter]),
    });
  };
  const advance = (duration: number) => clock.advance(duration as Ms);
  const releaseOne = () => {
    free += 1;
    queue.onRoom(PLAIN);
  };

  it("places at once while a slot is free and nothing waits ahead, even if late by its work", () => {
    free = 2;
    add("first");
    add("slow", { work: 5_000 });
    expect(placed).toEqual(["first", "slow"]);
    expect(events).toEqual([]);
  });

  it("places the next one on each completion, without a poll", () => {
    add("first");
    add("second");
    releaseOne();
    expect(placed).toEqual(["first"]);
    releaseOne();
    expect(placed).toEqual(["first", "second"]);
    expect(queue.count(PLAIN)).toBe(0);
  });

  it("finds a slot that became free without a completion", () => {
    add("first");
    free = 1;
    advance(30);
    expect(placed).toEqual(["first"]);
  });

  it("places a newer request that can meet its target before an older one that no longer can", () => {
    add("old", { aim: 100 });
    advance(60);
    add("new");
    releaseOne();
    releaseOne();
    expect(placed).toEqual(["new", "old"]);
  });

  it("places the earliest deadline first", () => {
    add("late", { aim: 900 });
    add("early", { aim: 200 });
    releaseOne();
    expect(placed).toEqual(["early"]);
  });

  it("refuses a request when it can no longer be served, before its deadline", () => {
    add("first", { ends: 500, work: 80 });
    advance(420);
    expect(refused).toEqual([]);
    advance(2);
    expect(refused).toEqual([["first", "too_late", 421, 400]]);
    expect(queue.count(PLAIN)).toBe(0);
    expect(clock.getNextAt()).toBeUndefined();
  });

  it("refuses at once what is not served before its deadline at the rate expected of the slots", () => {
    slots = 1;
    for (let i = 0; i < 4; i += 1) add(`r${i}`, { aim: 200, ends: 200 });
    expect(refused.map(([name, reason]) => [name, reason])).toEqual([["r3", "too_late"]]);
    expect(queue.count(PLAIN)).toBe(3);
  });

  it("refuses new requests instead of queueing them once completions cease", () => {
    for (let i = 0; i < 100; i += 1) {
      add(`r${i}`, { aim: 1_000 });
      add(`r${i} too`, { aim: 1_000 });
      advance(20);
      if (i < 50) releaseOne();
    }
    const ofLast = refused.filter(([name]) => name.startsWith("r99"));
    expect(ofLast.map(([name]) => name)).toEqual(["r99", "r99 too"]);
    expect(refused.some(([name]) => name === "r10")).toBe(false);
  });

  it("refuses nothing by forecast while no rate is known, as after another box took over", () => {
    for (let i = 0; i < 50; i += 1) add(`r${i}`, { aim: 100 });
    expect(refused).toEqual([]);
    expect(queue.count(PLAIN)).toBe(50);
  });

  it("lets a request that is late wait where demand is no more than the capacity", () => {
    slots = 1;
    advance(10_000);
    for (let i = 0; i < 8; i += 1) add(`r${i}`, { aim: 100, ends: 4_000 });
    expect(refused).toEqual([]);
    expect(queue.count(PLAIN)).toBe(8);
  });

  it("promises each refused client a later slot, at most 10 s ahead, and forgets passed ones", () => {
    slots = 1;
    const refuseOne = () => add("r", { ends: 40 });
    for (let i = 0; i < 300; i += 1) refuseOne();
    const times = refused.map(([, , , retryAfter]) => retryAfter);
    expect(times.slice(0, 3)).toEqual([400, 450, 500]);
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(Math.max(...times)).toBe(10_000);
    advance(11_000);
    refuseOne();
    expect(refused.at(-1)![3]).toBeLessThan(1_000);
  });

  it("states position, expected wait, rate and its age with each decision", () => {
    slots = 2;
    add("first");
    advance(25);
    add("second");
    expect(events[1]).toMatchObject({ kind: "waits", position: 1, waiting: 2 });
    expect(events[0]).toMatchObject({
      expectedWait: 25,
      ratePerSecond: 40,
      rateAge: undefined,
    });
    releaseOne();
    advance(10);
    add("third", { ends: 40 });
    expect(events.at(-1)).toMatchObject({
      kind: "refused",
      reason: "too_late",
      rateAge: 10,
    });
  });

  it("reports a client that left, and places nothing for it", () => {
    const leave = add("first");
    advance(10);
    leave();
    releaseOne();
    expect(placed).toEqual([]);
    expect(events.at(-1)).toMatchObject({ kind: "left", waited: 10 });
  });

  it("does not lose a slot that becomes free while a request is being placed", () => {
    let isNested = false;
    const entry = {
      kind: "plain",
      service: PLAIN,
      tier: 1,
      workspace: "w",
      subject: "k",
    } as const;
    const times = {
      cost: 1,
      arrivedAt: 0 as Ms,
      aimAt: 300 as Ms,
      endsAt: 900 as Ms,
      workMs: 9 as Ms,
    };
    queue.add({
      ...entry,
      ...times,
      refuse: () => undefined,
      attempt: () => {
        if (free === 0) return false;
        isNested = true;
        queue.onRoom(PLAIN);
        return true;
      },
    });
    add("second");
    releaseOne();
    expect(isNested).toBe(true);
    expect(placed).toEqual(["second"]);
  });

  it("places and refuses others on time while an attempt for one service throws", () => {
    add("odd");
    add("placed", { service: "other" });
    add("refused", { service: "third", ends: 200 });
    isThrowing = true;
    for (let i = 0; i < 30; i += 1) {
      try {
        advance(10);
      } catch (error) {
        expect(error).toEqual(new Error("odd"));
      }
      if (i === 10) free = 1;
    }
    expect(placed).toEqual(["placed"]);
    expect(refused.map(([name]) => name)).toEqual(["refused"]);
  });
});
