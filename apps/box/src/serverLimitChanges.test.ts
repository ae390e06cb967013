/**
 * A limit that begins under load, is heard by a box that starts anew, is named in some answers only, and ends. The users count what
 * came in the last 4 s also from before a box was told, and a server takes everything again once it says so.
 */
import { describe, expect, it } from "vitest";
import { waitMs } from "./box.testkit.js";
import {
  computeAllowed,
  countMostFromTold,
  LIMIT_CONTACT_MS,
} from "@stairgauge/standins";
import {
  collectAnswers,
  COUNTED_MS,
  listCounted,
  REFUSED,
  startSignSite,
  type SignCase,
} from "./signSite.testkit.js";

/** What is asked of the server in need. */
const PER_SECOND = 1.7;

/** Three boxes that are asked for much more than one server in need takes. */
const THREE_BOXES: SignCase = { path: "/once/", kind: "plain", boxes: 3, perSecond: 60 };

describe("a limit that changes", () => {
  it("gets no more than it allows where it had three times as much before it named it", async () => {
    const { servers, setNaming, sendFor } = await startSignSite({
      path: "/once/",
      kind: "plain",
      boxes: 7,
      perSecond: 24,
    });
    const before = await sendFor(2_000);
    setNaming(() => String(PER_SECOND), 0);
    const sent = await sendFor(LIMIT_CONTACT_MS + COUNTED_MS);
    const most = countMostFromTold(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeAllowed(PER_SECOND));
    expect(await collectAnswers([...before, ...sent])).not.toContain(REFUSED);
  });

  it("gets no more than it allows while a box starts anew beside the others", async () => {
    const { servers, setNaming, sendFor, addBox } = await startSignSite(THREE_BOXES);
    setNaming(() => String(PER_SECOND), 0);
    await sendFor(LIMIT_CONTACT_MS + 1_000);
    const { lines } = await addBox();
    await sendFor(COUNTED_MS);
    const most = countMostFromTold(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeAllowed(PER_SECOND));
    const told = lines.find(({ event }) => event === "server_limit_named");
    expect(told).toMatchObject({ perSecond: PER_SECOND });
  });

  it("gets no more than it allows where it names it in every second answer, and what is no limit in others", async () => {
    const { servers, fleet, setNaming, sendFor } = await startSignSite(THREE_BOXES);
    setNaming((answer) => [String(PER_SECOND), undefined, "1.7, 1.9"][answer % 3], 0);
    await sendFor(LIMIT_CONTACT_MS + COUNTED_MS);
    const most = countMostFromTold(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeAllowed(PER_SECOND));
    const lines = fleet.flatMap((box) => box.lines);
    expect(lines.some(({ event }) => event === "server_limit_unreadable")).toBe(true);
    expect(lines.some(({ event }) => event === "server_limit_lifted")).toBe(false);
  });

  it("gets what comes again once it no longer names it, and all boxes say so", async () => {
    const { servers, fleet, setNaming, sendFor } = await startSignSite(THREE_BOXES);
    setNaming(() => "3", 0);
    await sendFor(LIMIT_CONTACT_MS);
    setNaming(() => undefined, 0);
    await sendFor(4_000);
    const before = servers.listArrivals(0).length;
    const sent = await sendFor(2_000);
    // A quarter of what is sent would be its part; three a second was its limit.
    const arrived = servers.listArrivals(0).length - before;
    expect(arrived).toBeGreaterThan(sent.length / 10);
    await waitMs(50);
    for (const { lines } of fleet)
      expect(lines.some(({ event }) => event === "server_limit_lifted")).toBe(true);
  });
});
