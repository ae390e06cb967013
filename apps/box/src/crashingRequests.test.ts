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
import {
  ARRIVALS_ALLOWED,
  COUNTED_TRIES,
  startCrashSite,
  type CrashCase,
} from "./crashingRequests.testkit.js";

describe("a request that ends each server it is sent to", () => {
  it.each<[string, CrashCase]>([
    ["a plain one, by 3 boxes", { path: "/again/", kind: "plain", boxes: 3 }],
    ["a stream that may go on, by 14", { path: "/verdict/", kind: "engine", boxes: 14 }],
  ])("is kept from servers once three have ended: %s", async (_, crashCase) => {
    const { fleet, sendUntilKnown, countTries } = await startCrashSite(crashCase);
    await sendUntilKnown();
    const { arrivals, served } = await countTries(fleet);
    expect(arrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
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
