/**
 * A request ended each server that began to run it, and came again and again, under another id each time, at whichever box. Boxes
 * knew which servers broke off, but not under what: nothing that is the same in two tries outlived the first. So each try was
 * placed like any other, one that may be repeated was sent on to a second server 8 ms after the first had ended, and the ends of one
 * request were seen by 2, 3, 1, 4, 4 and 7 of 7 boxes, none of which could count them alone. Six engines of six ended within 1.4 s,
 * 17 in all under one request, with all streams aboard; under two requests three ends were followed by 6 and 4 more tries.
 *
 *   {"request":"3b16","server":"i-e860","reason":"may_have_run","detail":"aborted","event":"retry"}
 *   {"request":"3b16","server":"i-62b5","attempt":2,"reason":"most_free_memory","event":"placed"}
 */
import { describe, expect, it } from "vitest";
import { FULL_MACHINE_MS, waitFor } from "./box.testkit.js";
import {
  ARRIVALS_ALLOWED,
  COUNTED_TRIES,
  MAX_ENDS,
  startCrashSite,
  type CrashCase,
} from "./crashingRequests.testkit.js";

/** Resets of all connections, one after the other. */
const RESETS = 5;

describe("a request that ends each server it is sent to", () => {
  it.each<[string, CrashCase]>([
    ["a plain one, by 3 boxes", { path: "/again/", kind: "plain", boxes: 3 }],
    ["a stream that may go on, by 14", { path: "/verdict/", kind: "engine", boxes: 14 }],
  ])(
    "is kept from servers once three have ended: %s",
    async (_, crashCase) => {
      const { fleet, sendUntilKnown, countTries } = await startCrashSite(crashCase);
      await sendUntilKnown();
      const { arrivals, served } = await countTries(fleet);
      expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
      expect(served).toBe(COUNTED_TRIES);
    },
    FULL_MACHINE_MS,
  );

  it.each<[string, CrashCase]>([
    ["a plain one that may run once", { path: "/once/", kind: "plain", boxes: 3 }],
    ["a stream that may not go on", { path: "/draft/", kind: "engine", boxes: 3 }],
  ])("gets no answer of the system's own but 502 and 503: %s", async (_, crashCase) => {
    const { fleet, servers, sendUntilKnown, countTries } =
      await startCrashSite(crashCase);
    await sendUntilKnown();
    // Three that count, and tries that were under way when the third end was heard of.
    expect(servers.countEnds()).toBeLessThanOrEqual(MAX_ENDS);
    const { arrivals, served, crashing } = await countTries(fleet);
    expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
    expect(served).toBe(COUNTED_TRIES);
    expect(new Set(crashing.map(({ status }) => status))).toEqual(new Set([503]));
    const pauses = crashing.map(({ headers }) => Number(headers["retry-after"]));
    expect(Math.min(...pauses)).toBeGreaterThan(3_000);
  });

  it("is kept from servers after all boxes have been started again", async () => {
    const site = await startCrashSite({ path: "/again/", kind: "plain", boxes: 3 });
    await site.sendUntilKnown();
    await Promise.all(site.fleet.map(({ box }) => box.stop()));
    const fleet = await Promise.all([site.start(), site.start()]);
    await waitFor(() =>
      fleet.every(({ lines }) => lines.some(({ event }) => event === "request_blocked")),
    );
    const { arrivals, served } = await site.countTries(fleet);
    expect(arrivals).toBe(0);
    expect(served).toBe(COUNTED_TRIES);
  });

  it("is kept from servers by a box that starts after three have ended", async () => {
    const site = await startCrashSite({ path: "/again/", kind: "plain", boxes: 3 });
    await site.sendUntilKnown();
    const late = await site.start();
    const { arrivals, served } = await site.countTries([late]);
    expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
    expect(served).toBe(COUNTED_TRIES);
  });
});

describe("a request that is aboard by chance", () => {
  it("is served on where connections are reset in bulk under servers that live", async () => {
    const { servers, fleet, sendSound } = await startCrashSite({
      path: "/again/",
      kind: "plain",
      boxes: 3,
    });
    for (let round = 0; round < RESETS; round += 1) {
      servers.resetAfter(fleet.length);
      await Promise.all(fleet.map((box) => sendSound(box, 0)));
    }
    const lines = fleet.flatMap((box) => box.lines);
    const verdicts = lines
      .filter(({ event }) => event === "server_broke")
      .map(({ verdict }) => verdict);
    expect(new Set(verdicts)).toEqual(new Set(["lives"]));
    expect(lines.some(({ event }) => event === "request_blocked")).toBe(false);
    const last = await Promise.all(fleet.map((box) => sendSound(box, 0)));
    expect(last.map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});
