/** The path of a plain request: at once while its service is open, by the admitting box while it is contended. */
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createVirtualClock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import { NO_SIGNALS } from "@stairgauge/signals";
import type { PlacementDecision } from "@stairgauge/placement";
import { isFullRejection } from "./decideNext.js";
import {
  placePlainRequest,
  type PlainAdmission,
  type PlainRequest,
} from "./placePlainRequest.js";
import type { AnswerHead } from "./types.js";

const toDecision = (known: number): PlacementDecision => ({
  kind: "no_server",
  reason: "none_known",
  known,
});
const [CHOSEN, ADVISED, SAFE] = [1, 2, 3].map(toDecision);

type Answer = Awaited<ReturnType<PlainAdmission["ask"]>>;
const WAITS: Answer = { kind: "waits" };

const setUp = (
  answers: readonly Answer[],
  changes: Partial<PlainAdmission> = {},
  endsAt = 4_000,
) => {
  const clock = createVirtualClock();
  const left = [...answers];
  const asked: string[] = [];
  const placed: unknown[] = [];
  let reports = 0;
  const plainAdmission: PlainAdmission = {
    needsAdmission: () => true,
    checkConnections: () => undefined,
    onOpenPlaced: () => asked.push("open"),
    findAdmitting: () => "other",
    admitHere: () => () => asked.push("cancelled"),
    ask: (_, urgency) => {
      asked.push(urgency.kind === "within" ? `within ${urgency.wait}` : urgency.kind);
      const wait = urgency.kind === "within" ? urgency.wait : 5;
      const answer = left.shift();
      return new Promise((resolve) => clock.setTimer(wait as Ms, () => resolve(answer)));
    },
    onRejected: () => undefined,
    placeWithinOwnPart: () => SAFE!,
    ...changes,
  };
  const request = { service: "s" as ServiceName, endsAt } as unknown as PlainRequest;
  const cancel = placePlainRequest({ clock, plainAdmission }, request, {
    placeOpen: () => {
      placed.push([CHOSEN, undefined]);
      return () => undefined;
    },
    place: (decision, by) => placed.push([decision, by]),
    report: () => void (reports += 1),
    fail: (error) => placed.push(error),
  });
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { asked, placed, cancel, advance, countReports: () => reports };
};

describe("placePlainRequest", () => {
  it("places at once and asks nobody while the service is open", () => {
    const { placed, asked } = setUp([], { needsAdmission: () => false });
    expect(placed).toEqual([[CHOSEN, undefined]]);
    expect(asked).toEqual(["open"]);
  });

  it("asks again in slices while the request waits, and reports the wait once", async () => {
    const decided = { kind: "decided", decision: ADVISED!, by: "hub" } as const;
    const { placed, asked, advance, countReports } = setUp([WAITS, WAITS, decided]);
    await advance(1_100);
    expect(asked).toEqual(["if_room", "within 500", "within 500"]);
    expect(placed).toEqual([[ADVISED, "hub"]]);
    expect(countReports()).toBe(1);
  });

  it("does not ask beyond the deadline", async () => {
    const { asked, advance } = setUp([WAITS, WAITS, WAITS], {}, 305);
    await advance(1_000);
    expect(asked).toEqual(["if_room", "within 300"]);
  });

  it.each([
    ["from the start", []],
    ["while the request waits", [WAITS]],
  ])(
    "uses the safe part when the admitting box gives no answer %s",
    async (_, answers) => {
      const { placed, advance } = setUp(answers);
      await advance(600);
      expect(placed).toEqual([[SAFE, undefined]]);
    },
  );

  it("uses the safe part when the question to the admitting box throws", async () => {
    const ask = () => Promise.reject(new Error("fault of the test"));
    const { placed, advance, countReports } = setUp([], { ask });
    await advance(10);
    expect(placed).toEqual([[SAFE, undefined]]);
    expect(countReports()).toBe(1);
  });

  it("ends the request if placing within the safe part throws", async () => {
    const error = new Error("fault of the test");
    const placeWithinOwnPart = () => {
      throw error;
    };
    const { placed, advance } = setUp([], { placeWithinOwnPart });
    await advance(600);
    expect(placed).toEqual([error]);
  });

  it("uses the safe part at once when there is no admitting box", () => {
    const { placed, asked } = setUp([], { findAdmitting: () => "none" });
    expect(placed).toEqual([[SAFE, undefined]]);
    expect(asked).toEqual([]);
  });

  it("places nothing after the client has left", async () => {
    const { placed, cancel, advance } = setUp([WAITS]);
    await advance(100);
    cancel();
    await advance(1_000);
    expect(placed).toEqual([]);
  });

  it("cancels a request that waits at this box", () => {
    const { asked, cancel } = setUp([], { findAdmitting: () => "own" });
    cancel();
    expect(asked).toEqual(["cancelled"]);
  });
});

describe("isFullRejection", () => {
  const full = { status: 503, isNotRun: true, signals: NO_SIGNALS } as AnswerHead;

  it.each<[string, AnswerHead, boolean]>([
    ["a rejection for want of a slot", full, true],
    ["an answer that may have run", { ...full, isNotRun: false }, false],
    [
      "a leaving server's rejection",
      { ...full, signals: { ...NO_SIGNALS, leaving: { kind: "leaving" } } },
      false,
    ],
    [
      "a limited server's rejection",
      { ...full, signals: { ...NO_SIGNALS, limit: { kind: "named", perSecond: 5 } } },
      false,
    ],
  ])("tells %s", (_, head, isFull) => {
    expect(isFullRejection(head)).toBe(isFull);
  });
});
