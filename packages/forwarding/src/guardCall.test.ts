import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { createRequestGuard } from "@stairgauge/crashes";
import { createAttempt } from "./attempt.js";
import type { AdmittedRequest } from "./forwarderTypes.js";
import { createCallGuard, type BrokenAttempt } from "./guardCall.js";
import { makeServer } from "./server.testkit.js";
import type { ServerEnd, ServerEndVerdict } from "./serverEnds.js";

const REQUEST = {
  head: { host: "site.example", target: "/verdict/1" },
  body: Buffer.from("text"),
  workspace: { name: "w" },
} as AdmittedRequest;

const createCalls = (verdict: ServerEndVerdict, judgedAfter = 5) => {
  const clock = createVirtualClock();
  const told: BrokenAttempt[] = [];
  const guard = createRequestGuard({
    clock,
    limits: { blockingEnds: 3, memory: 60_000 as Ms },
    onOwnUpdate: () => undefined,
    onSharedUpdate: () => undefined,
    onBlocked: () => undefined,
    onReleased: () => undefined,
  });
  const judge = () =>
    new Promise<ServerEnd>((resolve) => {
      clock.setTimer(judgedAfter as Ms, () => resolve({ verdict, detail: "" }));
    });
  let events = 0;
  /** The next try of the same request. */
  const begin = () =>
    createCallGuard({
      deps: {
        clock,
        guard,
        serverEnds: { judge },
        placer: { countAboard: () => 2 } as never,
      },
      request: REQUEST,
      countEvents: () => events,
      tellBroke: (_, broken) => told.push(broken),
    });
  const breakOff = (call: ReturnType<typeof begin>, id: string, made = 0) => {
    const release = () => undefined;
    const attempt = createAttempt({
      server: makeServer(id),
      openedAt: clock.monotonic(),
      eventsBefore: events,
      release,
    });
    events += made;
    call.onBroken(attempt);
  };
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { clock, told, begin, breakOff, advance };
};

describe("createCallGuard", () => {
  it("sends a request on once after the first server has ended, and no further in the same try", async () => {
    const { begin, breakOff } = createCalls("ended");
    const call = begin();
    breakOff(call, "a");
    expect(call.mayRepeat()).toBe(true);
    breakOff(call, "b");
    expect(call.mayRepeat()).toBe(false);
  });

  it("keeps later tries from servers once three have ended, and says what it rests on", async () => {
    const { begin, breakOff, advance, told } = createCalls("ended");
    for (const id of ["a", "b", "c"]) {
      const call = begin();
      expect(call.findBlock()).toBeUndefined();
      breakOff(call, id);
      await advance(10);
    }
    expect(begin().findBlock()).toBeGreaterThan(50_000);
    expect(told.at(-1)).toMatchObject({ verdict: "ended", aboard: 2, events: 0 });
  });

  it("does not suspect requests whose connections break while their servers live", async () => {
    const { begin, breakOff, advance } = createCalls("lives");
    const call = begin();
    for (const id of ["a", "b", "c", "d"]) breakOff(call, id);
    await advance(10);
    expect(call.mayRepeat()).toBe(true);
    expect(call.findBlock()).toBeUndefined();
  });

  it("does not suspect a stream that has made many events at each of its servers", async () => {
    const { begin, breakOff, advance } = createCalls("ended");
    const call = begin();
    for (const id of ["a", "b", "c", "d"]) breakOff(call, id, 40);
    await advance(10);
    expect(call.mayRepeat()).toBe(true);
  });

  it("waits until it is known whether a stream's second server has ended", async () => {
    for (const [verdict, mayGoOn] of [
      ["ended", false],
      ["lives", true],
    ] as const) {
      const { begin, breakOff, advance } = createCalls(verdict);
      const call = begin();
      breakOff(call, "a");
      breakOff(call, "b");
      const judged = call.mayGoOn(makeServer("b"));
      await advance(10);
      expect(await judged).toBe(mayGoOn);
    }
  });

  it("does not hold a stream for a server that says nothing", async () => {
    const { begin, breakOff, advance } = createCalls("not_known", 4_000);
    const call = begin();
    breakOff(call, "a");
    breakOff(call, "b");
    const judged = call.mayGoOn(makeServer("b"));
    await advance(300);
    expect(await judged).toBe(false);
  });

  it("trusts a request again that a server has served", async () => {
    const { begin, breakOff, advance } = createCalls("ended");
    const call = begin();
    for (const id of ["a", "b", "c"]) breakOff(call, id);
    await advance(10);
    begin().onServed();
    expect(begin().findBlock()).toBeUndefined();
  });
});
