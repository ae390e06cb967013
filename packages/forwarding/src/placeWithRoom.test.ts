import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { PlacementDecision } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import { computePlacingTerms, placeWithRoom } from "./placeWithRoom.js";
import { createWaitQueue } from "./waitQueue.js";

const makePlaced = (memoryAfter: number | undefined): PlacementDecision => ({
  kind: "placed",
  server: {} as BackendServer,
  reason: "most_free_memory",
  load: 0.5,
  memoryAfter,
  reportAge: undefined,
  candidates: 2,
});

/** Places one request at time 0 with a time to the first answer of 1,000 ms. */
const setUp = (first: PlacementDecision, room = createRoom()) => {
  let decision = first;
  const placed: PlacementDecision[] = [];
  const told: string[] = [];
  const request = {
    service: "writers" as ServiceName,
    workspace: undefined,
    route: { tier: 1, firstAnswerAim: 1_000 as Ms } as Route,
    receivedAt: 0 as Ms,
  };
  const leave = placeWithRoom(room, computePlacingTerms(request), {
    choose: () => decision,
    place: (chosen) => placed.push(chosen),
    tell: ({ kind }) => told.push(kind),
  });
  const change = (next: PlacementDecision) => {
    decision = next;
  };
  const advance = (duration: number) => room.clock.advance(duration as Ms);
  return { room, placed, told, leave, change, advance };
};
const createRoom = () => {
  const clock = createVirtualClock();
  return { clock, waitingRoom: createWaitQueue(clock) };
};

describe("placeWithRoom", () => {
  it("places at once where there is room, and plain requests always", () => {
    expect(setUp(makePlaced(0.9)).placed).toHaveLength(1);
    expect(setUp(makePlaced(undefined)).placed).toHaveLength(1);
  });

  it("hands on at once that there is no server", () => {
    const none = { kind: "no_server", reason: "none_known", known: 0 } as const;
    expect(setUp(none).placed).toEqual([none]);
  });

  it("waits while every engine is full and takes the first that has room", () => {
    const { placed, told, change, advance } = setUp(makePlaced(1.1));
    advance(200);
    expect(placed).toEqual([]);
    expect(told).toEqual(["waits"]);
    change(makePlaced(0.4));
    advance(30);
    expect(placed).toEqual([makePlaced(0.4)]);
  });

  it("is placed in a full engine when the wait would cost its first answer", () => {
    const { placed, advance } = setUp(makePlaced(1.1));
    advance(390);
    expect(placed).toEqual([]);
    advance(40);
    expect(placed).toEqual([makePlaced(1.1)]);
  });

  it("does not pass one that waits already", () => {
    const { room } = setUp(makePlaced(1.1));
    const second = setUp(makePlaced(0.5), room);
    expect(second.placed).toEqual([]);
    second.advance(30);
    expect(second.placed).toEqual([]);
  });

  it("places nothing for a client that has left", () => {
    const { placed, leave, advance } = setUp(makePlaced(1.1));
    leave();
    advance(2_000);
    expect(placed).toEqual([]);
  });
});
