/** Requests that wait at the admitting box, between the questions for them. */
import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { createHeldRequests } from "./heldRequests.js";

const setUp = () => {
  const clock = createVirtualClock();
  const held = createHeldRequests<string>(clock);
  const seen = { started: 0, cancelled: 0, givenUp: 0 };
  let decide = (_: string) => {};
  let fail = (_: unknown) => {};
  const ask = (wait: number, signal = new AbortController().signal) =>
    held.await(
      {
        key: "b r",
        wait: wait as Ms,
        start: (give, end) => {
          seen.started += 1;
          decide = give;
          fail = end;
          return () => void (seen.cancelled += 1);
        },
        onGivenUp: () => void (seen.givenUp += 1),
      },
      signal,
    );
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return {
    held,
    seen,
    ask,
    advance,
    decide: (given: string) => decide(given),
    fail: (error: unknown) => fail(error),
  };
};

describe("createHeldRequests", () => {
  it("keeps the place of a request whose box asks in slices, and gives the decision once", async () => {
    const { held, seen, ask, advance, decide } = setUp();
    expect(await ask(0)).toBeUndefined();
    const first = ask(500);
    await advance(500);
    expect(await first).toBeUndefined();
    await advance(4);
    const second = ask(500);
    decide("s1");
    expect(await second).toBe("s1");
    expect(seen).toEqual({ started: 1, cancelled: 0, givenUp: 0 });
    expect(held.count()).toBe(0);
  });

  it("gives a decision that was made between two questions", async () => {
    const { ask, decide } = setUp();
    await ask(0);
    decide("s1");
    expect(await ask(500)).toBe("s1");
  });

  it("drops a request that is not asked for within half a second", async () => {
    const { held, seen, ask, advance } = setUp();
    await ask(0);
    await advance(500);
    expect(seen).toEqual({ started: 1, cancelled: 1, givenUp: 1 });
    expect(held.count()).toBe(0);
  });

  it("drops a request at once when its box cancels the question", async () => {
    const { held, seen, ask } = setUp();
    const call = new AbortController();
    const answer = ask(500, call.signal);
    call.abort();
    expect(await answer).toBeUndefined();
    expect(seen.cancelled).toBe(1);
    expect(held.count()).toBe(0);
  });

  it("ends the earlier of two questions for one request, and answers the later one", async () => {
    const { ask, decide, seen } = setUp();
    const earlier = ask(500);
    const later = ask(500);
    expect(await earlier).toBeUndefined();
    decide("s1");
    expect(await later).toBe("s1");
    expect(seen.started).toBe(1);
  });

  it("rejects the question for a request whose admission failed, and keeps it no longer", async () => {
    const { held, ask, fail } = setUp();
    const answer = ask(500);
    fail(new Error("fault of the test"));
    await expect(answer).rejects.toThrow("fault of the test");
    expect(held.count()).toBe(0);
  });
});
