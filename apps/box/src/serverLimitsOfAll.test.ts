/**
 * The load: all servers of a service are in need at once and take a fifth of what comes. What they take has to be used, and the
 * rest is refused at once, as not run, with the time until they take one more.
 */
import { describe, expect, it } from "vitest";
import {
  computeAllowed,
  countMostFromTold,
  LIMIT_CONTACT_MS,
} from "@stairgauge/standins";
import {
  collectAnswers,
  COUNTED_MS,
  type SignCase,
  listCounted,
  REFUSED,
  startSignSite,
} from "./signSite.testkit.js";

const PER_SECOND = 3;
const ALL = [0, 1, 2, 3] as const;

describe("servers that are all in need", () => {
  it.each<[string, SignCase]>([
    ["plain, 7 boxes", { path: "/once/", kind: "plain", boxes: 7, perSecond: 60 }],
    ["streams, 7 boxes", { path: "/draft/", kind: "engine", boxes: 7, perSecond: 60 }],
    ["streams, 14 boxes", { path: "/draft/", kind: "engine", boxes: 14, perSecond: 60 }],
    [
      "streams that may go on, 3 boxes",
      { path: "/verdict/", kind: "engine", boxes: 3, perSecond: 60 },
    ],
  ])(
    "get what their limits allow, and the rest is refused as not run: %s",
    async (_, signCase) => {
      const { servers, fleet, setNaming, sendFor } = await startSignSite(signCase);
      setNaming(() => String(PER_SECOND), ...ALL);
      const first = await sendFor(LIMIT_CONTACT_MS);
      const sent = await sendFor(COUNTED_MS);
      for (const server of ALL) {
        const arrivals = servers.listArrivals(server);
        expect(countMostFromTold(listCounted(arrivals))).toBeLessThanOrEqual(
          computeAllowed(PER_SECOND),
        );
        const counted = arrivals.filter(({ at }) => at >= sent[0]!.sentAt);
        // How much of it is used rests on the machine's time here; the tests of the parts judge it on a virtual clock.
        expect(counted.length).toBeGreaterThan(0);
      }
      expect(await collectAnswers([...first, ...sent])).toContain(200);
      const refused = (await Promise.all(sent.map(({ answer }) => answer))).filter(
        ({ status }) => status === REFUSED,
      );
      expect(refused.length).toBeGreaterThan(0);
      for (const { headers } of refused)
        expect(Number(headers["retry-after"])).toBeGreaterThan(0);
      const reasons = fleet
        .flatMap(({ lines }) => lines)
        .filter(({ event }) => event === "refused")
        .map(({ reason }) => reason);
      expect(new Set(reasons)).toEqual(new Set(["servers_limited"]));
      // None of those refused has reached a server.
      const reached = ALL.flatMap((server) => servers.listArrivals(server)).length;
      expect(reached + reasons.length).toBe(first.length + sent.length);
    },
  );
});
