/**
 * Limits that begin under load, apply while a new box starts, are announced in some answers
 * only, and end. The rule counts requests of the last 4 s, including those from before a box
 * was informed, and a server without a limit takes everything again.
 */
import { describe, expect, it } from "vitest";
import { waitMs } from "./box.testkit.js";
import {
  computeMaxRequests,
  countMaxInWindow,
  LIMIT_CONTACT_MS,
} from "@stairgauge/standins";
import {
  collectAnswers,
  COUNTED_MS,
  listCounted,
  REFUSED,
  startSignalSite,
  type SignalCase,
} from "./signalSite.testkit.js";

/** Limit of the server in requests per second. */
const PER_SECOND = 1.7;

/** Load of three boxes that exceeds the limit by far. */
const THREE_BOXES: SignalCase = {
  path: "/once/",
  kind: "plain",
  boxes: 3,
  perSecond: 60,
};

describe("a limit that changes", () => {
  it("is kept although three times as much came before it was announced", async () => {
    const { servers, setLimit, sendFor } = await startSignalSite({
      path: "/once/",
      kind: "plain",
      boxes: 7,
      perSecond: 24,
    });
    const before = await sendFor(2_000);
    setLimit(() => String(PER_SECOND), 0);
    const sent = await sendFor(LIMIT_CONTACT_MS + COUNTED_MS);
    const most = countMaxInWindow(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeMaxRequests(PER_SECOND));
    expect(await collectAnswers([...before, ...sent])).not.toContain(REFUSED);
  });

  it("is kept while a new box starts beside the others", async () => {
    const { servers, setLimit, sendFor, addBox } = await startSignalSite(THREE_BOXES);
    setLimit(() => String(PER_SECOND), 0);
    await sendFor(LIMIT_CONTACT_MS + 1_000);
    const { lines } = await addBox();
    await sendFor(COUNTED_MS);
    const most = countMaxInWindow(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeMaxRequests(PER_SECOND));
    const named = lines.find(({ event }) => event === "server_limit_named");
    expect(named).toMatchObject({ perSecond: PER_SECOND });
  });

  it("is kept if it is announced in some answers only, and others contain an invalid limit", async () => {
    const { servers, fleet, setLimit, sendFor } = await startSignalSite(THREE_BOXES);
    setLimit((answer) => [String(PER_SECOND), undefined, "1.7, 1.9"][answer % 3], 0);
    await sendFor(LIMIT_CONTACT_MS + COUNTED_MS);
    const most = countMaxInWindow(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeMaxRequests(PER_SECOND));
    const lines = fleet.flatMap((box) => box.lines);
    expect(lines.some(({ event }) => event === "server_limit_unreadable")).toBe(true);
    expect(lines.some(({ event }) => event === "server_limit_lifted")).toBe(false);
  });

  it("ends once it is no longer announced, and all boxes log that", async () => {
    const { servers, fleet, setLimit, sendFor } = await startSignalSite(THREE_BOXES);
    setLimit(() => "3", 0);
    await sendFor(LIMIT_CONTACT_MS);
    setLimit(() => undefined, 0);
    await sendFor(4_000);
    const before = servers.listArrivals(0).length;
    const sent = await sendFor(2_000);
    // The server's share would be a quarter of the requests; its limit was three per second.
    const arrived = servers.listArrivals(0).length - before;
    expect(arrived).toBeGreaterThan(sent.length / 10);
    await waitMs(50);
    for (const { lines } of fleet)
      expect(lines.some(({ event }) => event === "server_limit_lifted")).toBe(true);
  });
});
