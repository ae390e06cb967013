import { beforeEach, describe, expect, it } from "vitest";
import {
  createVirtualClock,
  type Ms,
  type ServiceName,
  type VirtualClock,
} from "@stairgauge/common";
import { createWaitQueue, type WaitQueue } from "./waitQueue.js";

const WRITERS = "writers" as ServiceName;

describe("createWaitQueue", () => {
  let clock: VirtualClock;
  let queue: WaitQueue;
  let free: number;
  let placed: string[];

  beforeEach(() => {
    clock = createVirtualClock();
    queue = createWaitQueue(clock);
    free = 0;
    placed = [];
  });

  const add = (
    name: string,
    tier = 1,
    changes: { service?: string; wait?: number } = {},
  ) =>
    queue.add({
      service: (changes.service ?? WRITERS) as ServiceName,
      tier,
      until: (clock.monotonic() + (changes.wait ?? 1_000)) as Ms,
      attempt: () => {
        if (free === 0) return false;
        free -= 1;
        placed.push(name);
        return true;
      },
      placeAnyway: () => placed.push(`${name} anyway`),
    });
  const advance = (duration: number) => clock.advance(duration as Ms);

  it("places by tier, then by arrival, as capacity becomes free", () => {
    add("first");
    add("second");
    add("urgent", 0);
    advance(100);
    expect(placed).toEqual([]);
    free = 2;
    advance(30);
    expect(placed).toEqual(["urgent", "first"]);
    free = 1;
    advance(30);
    expect(placed).toEqual(["urgent", "first", "second"]);
    expect(queue.count()).toBe(0);
  });

  it("places each request when its time is up, even without capacity", () => {
    add("first", 1, { wait: 200 });
    add("second", 1, { wait: 400 });
    advance(240);
    expect(placed).toEqual(["first anyway"]);
    advance(200);
    expect(placed).toEqual(["first anyway", "second anyway"]);
  });

  it("reports whether a waiting request goes before a new one", () => {
    add("first", 1);
    expect(queue.hasAhead(WRITERS, 1)).toBe(true);
    expect(queue.hasAhead(WRITERS, 0)).toBe(false);
    expect(queue.hasAhead("others" as ServiceName, 5)).toBe(false);
  });

  it("does not place a removed request, and sets no timer while empty", () => {
    const leave = add("first");
    leave();
    free = 1;
    advance(100);
    expect(placed).toEqual([]);
    expect(clock.getNextAt()).toBeUndefined();
  });

  it("places requests of one service while another service has no capacity", () => {
    const others = "others" as ServiceName;
    let hasRoom = false;
    queue.add({
      service: others,
      tier: 0,
      until: 1_000 as Ms,
      attempt: () => hasRoom,
      placeAnyway: () => placed.push("other"),
    });
    add("mine", 5);
    free = 1;
    advance(30);
    expect(placed).toEqual(["mine"]);
    hasRoom = true;
    advance(30);
    expect(queue.count()).toBe(0);
  });
});
