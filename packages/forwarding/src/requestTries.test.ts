/**
 * A server refused plain requests, as not run, while three others were free. What may run once may go to one server, and the one that
 * refused it counted as that one: 24 of 29 such requests were answered with its 503 after 3 ms.
 *
 *   {"box":"edge-brest-1","server":"i-a11b","afterMs":3,"status":503,"event":"answered"}
 */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { NO_SIGNALS } from "@stairgauge/signals";
import type { Route } from "@stairgauge/routing";
import { createRequestTries, judgeTry, type TryEnd } from "./requestTries.js";
import { makeServer } from "./server.testkit.js";

const SERVERS = ["a", "b", "c", "d", "e"].map(makeServer);

const setUp = (route: Partial<Route>, { budget = Infinity, servers = SERVERS } = {}) => {
  const clock = createVirtualClock();
  let left = budget;
  const choose = (_: unknown, __: unknown, except: ReadonlySet<ServerId>) => {
    const server = servers.find(({ entry }) => !except.has(entry.id));
    if (!server) return { kind: "no_server", reason: "none_left", known: 0 } as const;
    return {
      kind: "placed",
      server,
      reason: "least_busy",
      load: 0,
      memoryAfter: undefined,
      reportAge: undefined,
      candidates: 1,
    } as const;
  };
  const tries = createRequestTries({
    deps: {
      clock,
      placer: { choose } as never,
      budget: { take: () => (left -= 1) >= 0 } as never,
    },
    request: {
      route: { maxServers: 1, isResumable: false, ...route } as Route,
      service: "pages" as ServiceName,
      endsAt: 1_000 as Ms,
    },
    demand: { tier: 1, tokens: undefined },
    mayRepeat: () => true,
  });
  /** Sends the request to one server after the other until no other may be asked; gives how many it was sent to. */
  const sendUntilEnd = (ends: readonly TryEnd[]) => {
    for (const [at, end] of ends.entries()) {
      const decision = tries.choose();
      if (decision.kind === "placed") tries.recordChosen(decision.server.entry.id);
      tries.recordEnd(end);
      if (!tries.takeRetry()) return at + 1;
    }
    return ends.length;
  };
  return { clock, tries, sendUntilEnd };
};

describe("the tries of a request that may run at one server", () => {
  it("go on where a server turned it away for reasons of its own, to three at most", () => {
    const { sendUntilEnd } = setUp({});
    expect(sendUntilEnd(Array<TryEnd>(5).fill("turned_away"))).toBe(3);
  });

  it("end at the first that may have run it, or had no room", () => {
    expect(setUp({}).sendUntilEnd(["counts", "turned_away"])).toBe(1);
    expect(setUp({}).sendUntilEnd(["turned_away", "counts", "turned_away"])).toBe(2);
  });

  it("take from the budget of repeats what goes to a second server, and end with it", () => {
    const ends = Array<TryEnd>(5).fill("turned_away");
    expect(setUp({}, { budget: 1 }).sendUntilEnd(ends)).toBe(2);
    expect(setUp({}, { budget: 0 }).sendUntilEnd(ends)).toBe(1);
  });

  it("take nothing from it after a server that was not reached", () => {
    const { sendUntilEnd } = setUp({}, { budget: 0 });
    expect(sendUntilEnd(["unreached", "unreached", "unreached"])).toBe(3);
  });

  it("end with the time, and with the servers", () => {
    const late = setUp({});
    late.clock.advance(1_000 as Ms);
    expect(late.sendUntilEnd(["turned_away", "turned_away"])).toBe(1);
    const few = setUp({}, { servers: SERVERS.slice(0, 1) });
    expect(few.sendUntilEnd(["turned_away", "turned_away"])).toBe(1);
  });
});

describe("the tries of a request that may run at two servers", () => {
  it("count those that may have run it, beside those that turned it away", () => {
    const { sendUntilEnd } = setUp({ maxServers: 2 });
    expect(sendUntilEnd(["turned_away", "counts", "counts", "turned_away"])).toBe(3);
  });
});

describe("judgeTry", () => {
  const RESTS = {
    ...NO_SIGNALS,
    rest: { kind: "asked", duration: 3_000 as Ms },
  } as const;
  const LEAVES = { ...NO_SIGNALS, leaving: { kind: "leaving" } } as const;

  it.each([
    ["not sent", false, "not_run", undefined, "unreached"],
    ["not run by one that rests", true, "not_run", RESTS, "turned_away"],
    ["not run by one that leaves", true, "not_run", LEAVES, "turned_away"],
    ["not run by one without room", true, "not_run", NO_SIGNALS, "counts"],
    ["perhaps run by one that leaves", true, "may_have_run", LEAVES, "counts"],
    ["run by one that leaves, and failed", true, "ran_and_failed", LEAVES, "counts"],
    ["perhaps run, and nothing said", true, "may_have_run", undefined, "counts"],
  ] as const)("%s", (_, wasSent, verdict, signs, end) => {
    expect(judgeTry(wasSent, verdict, signs)).toBe(end);
  });
});
