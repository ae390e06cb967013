/** Tests placement with and without a hub's advice. */
import { describe, expect, it } from "vitest";
import { createAdmissionQueue, createFairShares } from "@stairgauge/admission";
import {
  advanceSettled,
  createVirtualClock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { PlacementDecision } from "@stairgauge/placement";
import {
  placeAgain,
  placeByAdvice,
  type Advice,
  type AdviceRequest,
  type PlaceableRequest,
} from "./placeByAdvice.js";
import type { ClientRequestId } from "./types.js";

const makeDecision = (reason: "only_one" | "least_busy"): PlacementDecision => ({
  kind: "placed",
  server: {} as BackendServer,
  reason,
  load: 0.5,
  memoryAfter: 0.6,
  reportAge: undefined,
  candidates: 2,
});
const OWN = makeDecision("only_one");
const ADVISED = makeDecision("least_busy");
const DECIDED: Advice = { kind: "decided", decision: ADVISED, by: "hub" };
const TOKENS = { prompt: 3_000, expectedOut: 200, isMovable: true };

/** The hub gives these answers in turn, after 5 ms each; `undefined` means no answer in time. */
const setUp = (
  answers: readonly (Advice | undefined)[],
  changes: Partial<PlaceableRequest> & { isNeeded?: boolean } = {},
) => {
  const clock = createVirtualClock();
  const script = [...answers];
  const asked: AdviceRequest["urgency"][] = [];
  const placed: (readonly [PlacementDecision, string | undefined])[] = [];
  const reported: string[] = [];
  const failed: unknown[] = [];
  const request: PlaceableRequest = {
    id: "r" as ClientRequestId,
    demand: { tier: 1, tokens: TOKENS },
    terms: { service: "writers" as ServiceName, tier: 1, until: 400 as Ms },
    except: new Set(),
    ...changes,
  };
  const deps = {
    clock,
    waitQueue: createAdmissionQueue({
      clock,
      shares: createFairShares(),
      retryAfter: 400 as Ms,
    }),
    advisor: {
      isNeeded: () => changes.isNeeded ?? true,
      ask: ({ urgency }: AdviceRequest) => {
        asked.push(urgency);
        return new Promise<Advice | undefined>((resolve) => {
          clock.setTimer(5 as Ms, () => resolve(script.shift()));
        });
      },
    },
  };
  const steps = {
    choose: () => OWN,
    place: (decision: PlacementDecision, by?: string) => placed.push([decision, by]),
    report: ({ kind }: { kind: string }) => reported.push(kind),
    fail: (error: unknown) => failed.push(error),
  };
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { deps, request, steps, asked, placed, reported, failed, advance };
};

describe("placeByAdvice", () => {
  it("places at the hub's choice, and reports the hub", async () => {
    const { deps, request, steps, placed, asked, advance } = setUp([DECIDED]);
    placeByAdvice(deps, request, steps);
    await advance(10);
    expect(placed).toEqual([[ADVISED, "hub"]]);
    expect(asked).toEqual([{ kind: "if_room" }]);
  });

  it("waits at the hub for the remaining time while every engine is full", async () => {
    const full: Advice = { kind: "no_room", memoryAfter: 1.2 };
    const { deps, request, steps, placed, asked, reported, advance } = setUp([
      full,
      DECIDED,
    ]);
    placeByAdvice(deps, request, steps);
    await advance(20);
    expect(asked).toEqual([{ kind: "if_room" }, { kind: "within", wait: 395 }]);
    expect(reported).toEqual(["waits"]);
    expect(placed).toEqual([[ADVISED, "hub"]]);
  });

  it("decides by itself without advice, if none is needed, and for requests that are no generation", async () => {
    const silent = setUp([undefined]);
    placeByAdvice(silent.deps, silent.request, silent.steps);
    await silent.advance(10);
    expect(silent.placed).toEqual([[OWN]].map(([one]) => [one, undefined]));
    for (const changes of [
      { isNeeded: false },
      { demand: { tier: 1, tokens: undefined } },
    ]) {
      const { deps, request, steps, placed, asked } = setUp([DECIDED], changes);
      placeByAdvice(deps, request, steps);
      expect(placed).toEqual([[OWN, undefined]]);
      expect(asked).toEqual([]);
    }
  });

  it("places nothing if the client disconnects before the advice arrives", async () => {
    const { deps, request, steps, placed, advance } = setUp([DECIDED]);
    const leave = placeByAdvice(deps, request, steps);
    leave();
    await advance(1_000);
    expect(placed).toEqual([]);
  });
});

/** Guards against a request that nothing places or ends any more, since its placement threw after a wait. */
describe("a placement that throws after the hub gave no advice", () => {
  it.each([
    ["for the first time", placeByAdvice],
    ["again", placeAgain],
  ])("ends its request: %s", async (_, place) => {
    const { deps, request, steps, failed, advance } = setUp([undefined]);
    const error = new Error("fault of the test");
    const choose = () => {
      throw error;
    };
    place(deps, request, { ...steps, choose });
    await advance(10);
    expect(failed).toEqual([error]);
  });
});

/** Guards against a request that ends with a fault of the box, since the question to another box threw. */
describe("a question to the hub that throws", () => {
  it.each([
    ["for the first time", placeByAdvice],
    ["again", placeAgain],
  ])("counts as no advice: %s", async (_, place) => {
    const { deps, request, steps, placed, failed, reported, advance } = setUp([]);
    const ask = () => Promise.reject(new Error("fault of the test"));
    place({ ...deps, advisor: { ...deps.advisor, ask } }, request, steps);
    await advance(10);
    expect(placed).toEqual([[OWN, undefined]]);
    expect(failed).toEqual([]);
    expect(reported).toEqual(["advice_failed"]);
  });
});

describe("placeAgain", () => {
  it("asks for an immediate placement, and decides by itself without an answer", async () => {
    const advised = setUp([DECIDED]);
    placeAgain(advised.deps, advised.request, advised.steps);
    await advised.advance(10);
    expect(advised.asked).toEqual([{ kind: "at_once" }]);
    expect(advised.placed).toEqual([[ADVISED, "hub"]]);
    const silent = setUp([undefined]);
    placeAgain(silent.deps, silent.request, silent.steps);
    await silent.advance(10);
    expect(silent.placed).toEqual([[OWN, undefined]]);
  });
});
