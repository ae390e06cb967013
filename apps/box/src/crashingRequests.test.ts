/**
 * Guards against a request that crashes each server which runs it, and is sent again and again,
 * each time with another id and to any box. If boxes record only which servers broke off and
 * not under which request, every attempt is placed like any other: a repeatable one went to a
 * second server 8 ms after the first had crashed. The crashes of one request were seen by 2, 3,
 * 1, 4, 4 and 7 of 7 boxes, and none of them could count all. Six engines of six ended within
 * 1.4 s, 17 in all under one request, with all their streams; under two requests three crashes
 * were followed by 6 and 4 more attempts.
 *
 *   {"request":"3b16","server":"i-e860","reason":"may_have_run","detail":"aborted","event":"retry"}
 *   {"request":"3b16","server":"i-62b5","attempt":2,"reason":"most_free_memory","event":"placed"}
 */
import { describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS, waitFor } from "./box.testkit.js";
import {
  ARRIVALS_ALLOWED,
  COUNTED_ATTEMPTS,
  MAX_CRASHES,
  startCrashSite,
  type CrashCase,
} from "./crashingRequests.testkit.js";

/** Number of times that all connections are reset. */
const RESETS = 5;

describe("a request that crashes each server it is sent to", () => {
  it.each<[string, CrashCase]>([
    ["a plain request, by 3 boxes", { path: "/again/", kind: "plain", boxes: 3 }],
    ["a resumable stream, by 14 boxes", { path: "/verdict/", kind: "engine", boxes: 14 }],
  ])(
    "is blocked once three servers have crashed: %s",
    async (_, crashCase) => {
      const { fleet, sendUntilBlocked, countAttempts } = await startCrashSite(crashCase);
      await sendUntilBlocked();
      const { arrivals, served } = await countAttempts(fleet);
      expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
      expect(served).toBe(COUNTED_ATTEMPTS);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each<[string, CrashCase]>([
    ["a plain request that may run once", { path: "/once/", kind: "plain", boxes: 3 }],
    ["a stream that can't be resumed", { path: "/draft/", kind: "engine", boxes: 3 }],
  ])(
    "is answered with 503 and Retry-After once it is blocked: %s",
    async (_, crashCase) => {
      const { fleet, servers, sendUntilBlocked, countAttempts } =
        await startCrashSite(crashCase);
      await sendUntilBlocked();
      // Three crashes that count, and those of attempts that ran when the third became known.
      expect(servers.countCrashes()).toBeLessThanOrEqual(MAX_CRASHES);
      const { arrivals, served, crashing } = await countAttempts(fleet);
      expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
      expect(served).toBe(COUNTED_ATTEMPTS);
      expect(new Set(crashing.map(({ status }) => status))).toEqual(new Set([503]));
      const pauses = crashing.map(({ headers }) => Number(headers["retry-after"]));
      expect(Math.min(...pauses)).toBeGreaterThan(3_000);
    },
  );

  it("stays blocked after all boxes have been restarted", async () => {
    const site = await startCrashSite({ path: "/again/", kind: "plain", boxes: 3 });
    await site.sendUntilBlocked();
    await Promise.all(site.fleet.map(({ box }) => box.stop()));
    const fleet = await Promise.all([site.start(), site.start()]);
    await waitFor(() =>
      fleet.every(({ lines }) => lines.some(({ event }) => event === "request_blocked")),
    );
    const { arrivals, served } = await site.countAttempts(fleet);
    expect(arrivals).toBe(0);
    expect(served).toBe(COUNTED_ATTEMPTS);
  });

  it("is blocked by a box that starts after three servers have crashed", async () => {
    const site = await startCrashSite({ path: "/again/", kind: "plain", boxes: 3 });
    await site.sendUntilBlocked();
    const late = await site.start();
    const { arrivals, served } = await site.countAttempts([late]);
    expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
    expect(served).toBe(COUNTED_ATTEMPTS);
  });
});

describe("a request that runs at a server by chance", () => {
  it("is not blocked if all connections are reset while the servers keep running", async () => {
    const { servers, fleet, sendHarmless } = await startCrashSite({
      path: "/again/",
      kind: "plain",
      boxes: 3,
    });
    for (let round = 0; round < RESETS; round += 1) {
      servers.resetAfter(fleet.length);
      await Promise.all(fleet.map((box) => sendHarmless(box, 0)));
    }
    const lines = fleet.flatMap((box) => box.lines);
    const verdicts = lines
      .filter(({ event }) => event === "server_broke")
      .map(({ verdict }) => verdict);
    expect(new Set(verdicts)).toEqual(new Set(["lives"]));
    expect(lines.some(({ event }) => event === "request_blocked")).toBe(false);
    const last = await Promise.all(fleet.map((box) => sendHarmless(box, 0)));
    expect(last.map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});
