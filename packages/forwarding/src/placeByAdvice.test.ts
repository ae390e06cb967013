/** Placing by another box's advice, and without it. */
import { describe, expect, it } from "vitest";
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
import { createWaitQueue } from "./waitQueue.js";

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

/** Answers come after 5 ms each, in turn; `undefined` is none in time. */
const setUp = (
  answers: readonly (Advice | undefined)[],
  changes: Partial<PlaceableRequest> & { isNeeded?: boolean } = {},
) => {
  const clock = createVirtualClock();
  const script = [...answers];
  const asked: AdviceRequest["urgency"][] = [];
  const placed: (readonly [PlacementDecision, string | undefined])[] = [];
  const told: string[] = [];
  const request: PlaceableRequest = {
    id: "r" as ClientRequestId,
    demand: { tier: 1, tokens: TOKENS },
    terms: { service: "writers" as ServiceName, tier: 1, until: 400 as Ms },
    except: new Set(),
    ...changes,
  };
  const deps = {
    clock,
    waitingRoom: createWaitQueue(clock),
    adviser: {
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
    tell: ({ kind }: { kind: string }) => told.push(kind),
  };
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { deps, request, steps, asked, placed, told, advance };
};

describe("placeByAdvice", () => {
  it("places where the hub says, and names it", async () => {
    const { deps, request, steps, placed, asked, advance } = setUp([DECIDED]);
    placeByAdvice(deps, request, steps);
    await advance(10);
    expect(placed).toEqual([[ADVISED, "hub"]]);
    expect(asked).toEqual([{ kind: "if_room" }]);
  });

  it("waits there for what is left of its time while every engine is full", async () => {
    const full: Advice = { kind: "no_room", memoryAfter: 1.2 };
    const { deps, request, steps, placed, asked, told, advance } = setUp([full, DECIDED]);
    placeByAdvice(deps, request, steps);
    await advance(20);
    expect(asked).toEqual([{ kind: "if_room" }, { kind: "within", wait: 395 }]);
    expect(told).toEqual(["waits"]);
    expect(placed).toEqual([[ADVISED, "hub"]]);
  });

  it("decides by itself when no advice comes, when none is needed, and for what is no generation", async () => {
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

  it("places nothing for a client that leaves meanwhile", async () => {
    const { deps, request, steps, placed, advance } = setUp([DECIDED]);
    const leave = placeByAdvice(deps, request, steps);
    leave();
    await advance(1_000);
    expect(placed).toEqual([]);
  });
});

describe("placeAgain", () => {
  it("asks for a place at once, full or not, and decides by itself without an answer", async () => {
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
