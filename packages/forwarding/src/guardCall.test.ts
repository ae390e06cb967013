import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { createRequestGuard } from "@stairgauge/crashes";
import { createAttempt } from "./attempt.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import { createCallGuard, type BrokenAttempt } from "./guardCall.js";
import { makeServer } from "./server.testkit.js";
import type { CrashCheck, CrashVerdict } from "./crashDetector.js";

const makeRequest = (promptParts: readonly string[], body = "text") =>
  ({
    head: { host: "site.example", target: "/verdict/1", promptParts },
    body: Buffer.from(body),
    workspace: { name: "w" },
    service: "writers",
  }) as unknown as AdmittedRequest;
const REQUEST = makeRequest([]);

const createCalls = (verdict: CrashVerdict, checkDuration = 5) => {
  const clock = createVirtualClock();
  const reported: BrokenAttempt[] = [];
  const guard = createRequestGuard({
    clock,
    limits: { blockingEnds: 3, memory: 60_000 as Ms },
    onOwnUpdate: () => undefined,
    onSharedUpdate: () => undefined,
    onBlocked: () => undefined,
    onReleased: () => undefined,
  });
  const check = () =>
    new Promise<CrashCheck>((resolve) => {
      clock.setTimer(checkDuration as Ms, () => resolve({ verdict, detail: "" }));
    });
  let events = 0;
  /** Creates the guard of the next request, by default with the same digest. */
  const begin = (request = REQUEST) =>
    createCallGuard({
      deps: {
        clock,
        guard,
        crashDetector: { check },
        placer: { countRequestsAt: () => 2 } as never,
      },
      request,
      countEvents: () => events,
      reportBroken: (_, broken) => reported.push(broken),
    });
  const send = (id: string) =>
    createAttempt({
      server: makeServer(id),
      openedAt: clock.monotonic(),
      requestsThere: 0,
      eventsBefore: events,
      release: () => undefined,
    });
  const breakOff = (call: ReturnType<typeof begin>, id: string, made = 0) => {
    const attempt = send(id);
    events += made;
    call.onBroken(attempt);
  };
  /** A server completes the request. */
  const serve = (call: ReturnType<typeof begin>, id: string) => call.onServed(send(id));
  /** A server sends events of the request, and goes on. */
  const makeProgress = (call: ReturnType<typeof begin>, id: string, made: number) => {
    const attempt = send(id);
    events += made;
    call.onProgress(attempt);
  };
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { clock, reported, begin, breakOff, serve, makeProgress, advance };
};

describe("createCallGuard", () => {
  it("allows one repeat after the first crash, and no more after the second", async () => {
    const { begin, breakOff } = createCalls("ended");
    const call = begin();
    breakOff(call, "a");
    expect(call.mayRepeat()).toBe(true);
    breakOff(call, "b");
    expect(call.mayRepeat()).toBe(false);
  });

  it("blocks later requests of the client after three crashes, and reports each crash", async () => {
    const { begin, breakOff, advance, reported } = createCalls("ended");
    for (const id of ["a", "b", "c"]) {
      const call = begin();
      expect(call.findBlock()).toBeUndefined();
      breakOff(call, id);
      await advance(10);
    }
    expect(begin().findBlock()?.left).toBeGreaterThan(50_000);
    expect(reported.at(-1)).toMatchObject({ verdict: "ended", aboard: 2, events: 0 });
  });

  it("does not block a request whose connections break while its servers are alive", async () => {
    const { begin, breakOff, advance } = createCalls("lives");
    const call = begin();
    for (const id of ["a", "b", "c", "d"]) breakOff(call, id);
    await advance(10);
    expect(call.mayRepeat()).toBe(true);
    expect(call.findBlock()).toBeUndefined();
  });

  it("does not block a stream that received many events from each crashed server", async () => {
    const { begin, breakOff, advance } = createCalls("ended");
    const call = begin();
    for (const id of ["a", "b", "c", "d"]) breakOff(call, id, 40);
    await advance(10);
    expect(call.mayRepeat()).toBe(true);
  });

  it("waits for the check of a stream's second server before the stream may continue", async () => {
    for (const [verdict, mayGoOn] of [
      ["ended", false],
      ["lives", true],
    ] as const) {
      const { begin, breakOff, advance } = createCalls(verdict);
      const call = begin();
      breakOff(call, "a");
      breakOff(call, "b");
      const checked = call.mayContinue(makeServer("b"));
      await advance(10);
      expect(await checked).toBe(mayGoOn);
    }
  });

  it("stops waiting after 300 ms if the server does not answer the check", async () => {
    const { begin, breakOff, advance } = createCalls("not_known", 4_000);
    const call = begin();
    breakOff(call, "a");
    breakOff(call, "b");
    const checked = call.mayContinue(makeServer("b"));
    await advance(300);
    expect(await checked).toBe(false);
  });

  it("unblocks a request that a server has served", async () => {
    const { begin, breakOff, serve, advance } = createCalls("ended");
    const call = begin();
    for (const id of ["a", "b", "c"]) breakOff(call, id);
    await advance(10);
    serve(begin(), "d");
    expect(begin().findBlock()).toBeUndefined();
  });
});

describe("a part of a prompt under which servers end", () => {
  const SHARED = "a1";
  const BAD = "bad";
  let next = 0;
  /** Makes a request with these parts and an own one, and with a body that no other has. */
  const makePrompt = (...parts: string[]) => {
    next += 1;
    return makeRequest([...parts, `own${next}`], `body ${next}`);
  };

  it("blocks each request that holds it after three ends, and names it", async () => {
    const { begin, breakOff, advance, reported } = createCalls("ended");
    for (const id of ["a", "b", "c"]) {
      breakOff(begin(makePrompt(SHARED, BAD)), id);
      await advance(10);
    }
    const block = begin(makePrompt(SHARED, BAD)).findBlock();
    expect(block).toMatchObject({ suspect: { kind: "prompt_part" } });
    expect(reported.at(-1)?.parts).toEqual([SHARED, BAD]);
  });

  it("is told from another part that was at all ends by one more request, which holds only one of them", async () => {
    const { begin, breakOff, advance } = createCalls("ended");
    for (const id of ["a", "b", "c"]) {
      breakOff(begin(makePrompt(SHARED, BAD)), id);
      await advance(10);
    }
    const other = begin(makePrompt(BAD));
    expect(other.findBlock()).toBeUndefined();
    breakOff(other, "d");
    await advance(10);
    expect(begin(makePrompt(BAD)).findBlock()).toMatchObject({
      suspect: { part: BAD },
    });
    expect(begin(makePrompt(SHARED)).findBlock()).toBeUndefined();
  });

  it("does not block a request that shares only parts which another one explains", async () => {
    const { begin, breakOff, serve, advance } = createCalls("ended");
    for (const id of ["a", "b", "c"]) {
      breakOff(begin(makePrompt(SHARED, BAD)), id);
      await advance(10);
    }
    const sound = begin(makePrompt(SHARED));
    expect(sound.findBlock()).toBeUndefined();
    serve(sound, "d");
    await advance(10);
    const block = begin(makePrompt(SHARED, BAD)).findBlock();
    expect(block).toMatchObject({ suspect: { part: BAD } });
  });

  it("does not block the last part, which is the request's own", async () => {
    const { begin, breakOff, advance } = createCalls("ended");
    for (const id of ["a", "b", "c"]) {
      breakOff(begin(makeRequest([BAD], `body ${id}`)), id);
      await advance(10);
    }
    expect(begin(makeRequest([BAD], "another body")).findBlock()).toBeUndefined();
  });

  it("is not blamed for the end of a server that has survived it", async () => {
    const { begin, breakOff, serve, makeProgress, advance } = createCalls("ended");
    for (const [index, id] of ["a", "b", "c"].entries()) {
      if (index === 0) serve(begin(makePrompt(SHARED)), id);
      else makeProgress(begin(makePrompt(SHARED)), id, 40);
      breakOff(begin(makePrompt(SHARED)), id);
      await advance(10);
    }
    expect(begin(makePrompt(SHARED)).findBlock()).toBeUndefined();
  });

  it("is not cleared by an answer that had begun before the ends", async () => {
    const { clock, begin, breakOff, advance } = createCalls("ended");
    const early = begin(makePrompt(BAD));
    const attempt = createAttempt({
      server: makeServer("early"),
      openedAt: clock.monotonic(),
      requestsThere: 0,
      eventsBefore: 0,
      release: () => undefined,
    });
    for (const id of ["a", "b", "c", "d", "e", "f"]) {
      breakOff(begin(makePrompt(BAD)), id);
      await advance(10);
    }
    early.onServed(attempt);
    expect(begin(makePrompt(BAD)).findBlock()).toBeDefined();
  });

  it("is not sent to a second server within a try, unless its server lives or others have survived it", async () => {
    const ended = createCalls("ended");
    const call = ended.begin(makePrompt(BAD));
    expect(call.mayRepeat()).toBe(true);
    ended.breakOff(call, "a");
    expect(call.mayRepeat()).toBe(false);
    ended.serve(ended.begin(makePrompt(SHARED)), "b");
    const sound = ended.begin(makePrompt(SHARED));
    ended.breakOff(sound, "c");
    expect(sound.mayRepeat()).toBe(true);

    const alive = createCalls("lives");
    const other = alive.begin(makePrompt(BAD));
    alive.breakOff(other, "a");
    await alive.advance(10);
    expect(other.mayRepeat()).toBe(true);
  });
});
