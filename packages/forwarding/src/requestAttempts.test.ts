/**
 * A server that backs off or leaves rejects requests without running them. If such a rejection counts as
 * the one server that a once-only request may be sent to, its client gets the 503 although other servers
 * are free: 24 of 29 such requests did, after 3 ms, while three other servers were free.
 *
 *   {"box":"edge-brest-1","server":"i-a11b","afterMs":3,"status":503,"event":"answered"}
 */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { NO_SIGNALS } from "@stairgauge/signals";
import type { Route } from "@stairgauge/routing";
import {
  createRequestAttempts,
  classifyAttempt,
  type AttemptResult,
} from "./requestAttempts.js";
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
  const attempts = createRequestAttempts({
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
    getDemand: () => ({ tier: 1, tokens: undefined }),
    mayRepeat: () => true,
  });
  /** Sends the request to one server after another until no retry is allowed; returns the number of attempts. */
  const sendUntilEnd = (ends: readonly AttemptResult[]) => {
    for (const [at, end] of ends.entries()) {
      const decision = attempts.choose();
      if (decision.kind === "placed") attempts.recordChosen(decision.server.entry.id);
      attempts.recordEnd(end);
      if (!attempts.takeRetry()) return at + 1;
    }
    return ends.length;
  };
  return { clock, attempts, sendUntilEnd };
};

describe("createRequestAttempts for a request that may be sent to one server", () => {
  it("retries after servers turned the request away, with at most three attempts", () => {
    const { sendUntilEnd } = setUp({});
    expect(sendUntilEnd(Array<AttemptResult>(5).fill("turned_away"))).toBe(3);
  });

  it("stops at the first server that may have run the request or was full", () => {
    expect(setUp({}).sendUntilEnd(["counts", "turned_away"])).toBe(1);
    expect(setUp({}).sendUntilEnd(["turned_away", "counts", "turned_away"])).toBe(2);
  });

  it("takes each retry from the retry budget, and stops when it is used up", () => {
    const ends = Array<AttemptResult>(5).fill("turned_away");
    expect(setUp({}, { budget: 1 }).sendUntilEnd(ends)).toBe(2);
    expect(setUp({}, { budget: 0 }).sendUntilEnd(ends)).toBe(1);
  });

  it("takes nothing from the budget after servers that were not reached", () => {
    const { sendUntilEnd } = setUp({}, { budget: 0 });
    expect(sendUntilEnd(["unreached", "unreached", "unreached"])).toBe(3);
  });

  it("stops after the deadline, and when no server is left", () => {
    const late = setUp({});
    late.clock.advance(1_000 as Ms);
    expect(late.sendUntilEnd(["turned_away", "turned_away"])).toBe(1);
    const few = setUp({}, { servers: SERVERS.slice(0, 1) });
    expect(few.sendUntilEnd(["turned_away", "turned_away"])).toBe(1);
  });
});

describe("createRequestAttempts for a request that may be sent to two servers", () => {
  it("counts servers that may have run the request, apart from those that turned it away", () => {
    const { sendUntilEnd } = setUp({ maxServers: 2 });
    expect(sendUntilEnd(["turned_away", "counts", "counts", "turned_away"])).toBe(3);
  });
});

describe("classifyAttempt", () => {
  const BACKS_OFF = {
    ...NO_SIGNALS,
    rest: { kind: "asked", duration: 3_000 as Ms },
  } as const;
  const LEAVES = { ...NO_SIGNALS, leaving: { kind: "leaving" } } as const;

  it.each([
    ["not sent", false, "not_run", undefined, "unreached"],
    ["not run by a server that backs off", true, "not_run", BACKS_OFF, "turned_away"],
    ["not run by a leaving server", true, "not_run", LEAVES, "turned_away"],
    ["not run by a full server", true, "not_run", NO_SIGNALS, "counts"],
    ["possibly run by a leaving server", true, "may_have_run", LEAVES, "counts"],
    ["failed at a leaving server", true, "ran_and_failed", LEAVES, "counts"],
    ["possibly run, without signals", true, "may_have_run", undefined, "counts"],
  ] as const)("classifies an attempt as %s", (_, wasSent, verdict, signals, end) => {
    expect(classifyAttempt(wasSent, verdict, signals)).toBe(end);
  });
});
