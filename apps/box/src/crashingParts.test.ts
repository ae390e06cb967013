/**
 * Guards against requests that share a part of their prompts under which servers end, and nothing else: each was new to
 * boxes that suspect whole requests only, and ended one server or two, for as long as they came.
 */
import { describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS, waitFor } from "./box.testkit.js";
import { ARRIVALS_ALLOWED } from "./crashingRequests.testkit.js";
import { ENDS_ALLOWED, runPartsLoad, type PartsCase } from "./crashingParts.testkit.js";

/** Share of the sound requests served before that are still served while the others are refused. */
const MIN_SERVED_SHARE = 0.95;

const LOAD: PartsCase = {
  boxes: 3,
  path: "/verdict/1",
  position: "second",
  sendsFirstEvent: true,
  soundPerSecond: 25,
};

describe("requests with a part in their prompts that crashes servers", () => {
  it.each<[string, Partial<PartsCase>]>([
    ["streams that may go on, 3 boxes", {}],
    ["the first part, 3 boxes", { path: "/draft/1", position: "first" }],
    ["before the first event, 7 boxes", { boxes: 7, sendsFirstEvent: false }],
    ["streams that may go on, 14 boxes", { boxes: 14, soundPerSecond: 66 }],
  ])(
    "are kept from servers, and sound ones are served: %s",
    async (_, changes) => {
      const { ends, lateArrivals, servedBefore, servedAfter } = await runPartsLoad({
        ...LOAD,
        ...changes,
      });
      expect(ends).toBeLessThanOrEqual(ENDS_ALLOWED);
      expect(lateArrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
      expect(servedAfter / servedBefore).toBeGreaterThanOrEqual(MIN_SERVED_SHARE);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "are refused by a box that starts later",
    async () => {
      const { start, countArrivalsAt } = await runPartsLoad(LOAD);
      const late = await start();
      await waitFor(() => late.lines.some(({ event }) => event === "request_blocked"));
      expect(await countArrivalsAt(late, 20)).toBe(0);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
