import { describe, expect, it } from "vitest";
import { createAdmissionQueue, createFairShares } from "@stairgauge/admission";
import {
  createVirtualClock,
  type Ms,
  type ServiceName,
  type WorkspaceName,
} from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { PlacementDecision } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import { computePlacingTerms, placeOrWait } from "./placeOrWait.js";

const makePlaced = (memoryAfter: number | undefined): PlacementDecision => ({
  kind: "placed",
  server: {} as BackendServer,
  reason: "most_free_memory",
  load: 0.5,
  memoryAfter,
  reportAge: undefined,
  candidates: 2,
});

/** Places one request at time 0 whose target time to the first answer is 1,000 ms. */
const setUp = (first: PlacementDecision, queue = createQueue()) => {
  let decide = () => first;
  const placed: PlacementDecision[] = [];
  const reported: string[] = [];
  const failed: unknown[] = [];
  const request = {
    service: "writers" as ServiceName,
    workspace: undefined,
    route: { tier: 1, firstAnswerAim: 1_000 as Ms } as Route,
    receivedAt: 0 as Ms,
  };
  const leave = placeOrWait(queue, computePlacingTerms(request), {
    choose: () => decide(),
    place: (chosen) => placed.push(chosen),
    report: ({ kind }) => reported.push(kind),
    fail: (error) => {
      leave();
      failed.push(error);
    },
  });
  const change = (next: PlacementDecision) => {
    decide = () => next;
  };
  const failToDecide = () => {
    decide = () => {
      throw new Error("fault of the test");
    };
  };
  const advance = (duration: number) => queue.clock.advance(duration as Ms);
  return { queue, placed, reported, failed, leave, change, failToDecide, advance };
};
const createQueue = () => {
  const clock = createVirtualClock();
  return {
    clock,
    waitQueue: createAdmissionQueue({
      clock,
      shares: createFairShares(),
      retryAfter: 400 as Ms,
    }),
  };
};

describe("placeOrWait", () => {
  it("places at once if there is capacity, and plain requests always", () => {
    expect(setUp(makePlaced(0.9)).placed).toHaveLength(1);
    expect(setUp(makePlaced(undefined)).placed).toHaveLength(1);
  });

  it("passes the decision on at once if there is no server", () => {
    const none = { kind: "no_server", reason: "none_known", known: 0 } as const;
    expect(setUp(none).placed).toEqual([none]);
  });

  it("waits while every engine is full, and places once one has capacity", () => {
    const { placed, reported, change, advance } = setUp(makePlaced(1.1));
    advance(200);
    expect(placed).toEqual([]);
    expect(reported).toEqual(["waits"]);
    change(makePlaced(0.4));
    advance(30);
    expect(placed).toEqual([makePlaced(0.4)]);
  });

  it("places at a full engine after 40 % of the target time to the first answer", () => {
    const { placed, advance } = setUp(makePlaced(1.1));
    advance(390);
    expect(placed).toEqual([]);
    advance(40);
    expect(placed).toEqual([makePlaced(1.1)]);
  });

  it("does not overtake a waiting request", () => {
    const { queue } = setUp(makePlaced(1.1));
    const second = setUp(makePlaced(0.5), queue);
    expect(second.placed).toEqual([]);
    second.advance(30);
    expect(second.placed).toEqual([]);
  });

  it("places nothing after the client disconnects", () => {
    const { placed, leave, advance } = setUp(makePlaced(1.1));
    leave();
    advance(2_000);
    expect(placed).toEqual([]);
  });

  it("ends a request whose placement throws in the queue, and holds up none behind it", () => {
    const first = setUp(makePlaced(1.1));
    const second = setUp(makePlaced(1.1), first.queue);
    first.failToDecide();
    second.change(makePlaced(0.5));
    first.advance(30);
    expect(first.failed).toHaveLength(1);
    expect(first.queue.waitQueue.count()).toBe(0);
    expect(second.placed).toHaveLength(1);
  });

  it("charges what it places, so that a workspace with less usage goes first among those that wait", () => {
    const { clock, waitQueue } = createQueue();
    const placed: string[] = [];
    let decision = makePlaced(0.5);
    const send = (workspace: string) =>
      placeOrWait(
        { waitQueue },
        computePlacingTerms({
          service: "writers" as ServiceName,
          workspace: { name: workspace as WorkspaceName, tier: 1 },
          route: { tier: 2, firstAnswerAim: 1_000 as Ms },
          receivedAt: 0 as Ms,
          head: { key: "k", usage: { prompt: 3_000, maxOut: 200 }, lengthEstimate: 80 },
        }),
        {
          choose: () => decision,
          place: () => placed.push(workspace),
          report: () => undefined,
          fail: () => undefined,
        },
      );
    send("large");
    decision = makePlaced(1.1);
    send("large");
    send("small");
    decision = makePlaced(0.5);
    clock.advance(30 as Ms);
    expect(placed).toEqual(["large", "small", "large"]);
  });
});
