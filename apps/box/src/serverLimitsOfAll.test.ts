/**
 * All servers of a service announce limits and take a fifth of the load. What they allow must
 * be used, and other requests are refused at once, as not run, with the time until a server
 * takes one more.
 */
import { describe, expect, it } from "vitest";
import {
  computeMaxRequests,
  countMaxInWindow,
  LIMIT_CONTACT_MS,
} from "@stairgauge/standins";
import {
  collectAnswers,
  COUNTED_MS,
  type SignalCase,
  listCounted,
  REFUSED,
  startSignalSite,
} from "./signalSite.testkit.js";

const PER_SECOND = 3;
const ALL = [0, 1, 2, 3] as const;

describe("servers that all announce limits", () => {
  it.each<[string, SignalCase]>([
    ["plain, 7 boxes", { path: "/once/", kind: "plain", boxes: 7, perSecond: 60 }],
    ["streams, 7 boxes", { path: "/draft/", kind: "engine", boxes: 7, perSecond: 60 }],
    ["streams, 14 boxes", { path: "/draft/", kind: "engine", boxes: 14, perSecond: 60 }],
    [
      "resumable streams, 3 boxes",
      { path: "/verdict/", kind: "engine", boxes: 3, perSecond: 60 },
    ],
  ])(
    "get what their limits allow, and other requests are refused as not run: %s",
    async (_, signalCase) => {
      const { servers, fleet, setLimit, sendFor } = await startSignalSite(signalCase);
      setLimit(() => String(PER_SECOND), ...ALL);
      const first = await sendFor(LIMIT_CONTACT_MS);
      const sent = await sendFor(COUNTED_MS);
      for (const server of ALL) {
        const arrivals = servers.listArrivals(server);
        expect(countMaxInWindow(listCounted(arrivals))).toBeLessThanOrEqual(
          computeMaxRequests(PER_SECOND),
        );
        const counted = arrivals.filter(({ at }) => at >= sent[0]!.sentAt);
        // How much of the limit is used depends on the machine's speed; unit tests check it on
        // a virtual clock.
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
      // No refused request has reached a server.
      const reached = ALL.flatMap((server) => servers.listArrivals(server)).length;
      expect(reached + reasons.length).toBe(first.length + sent.length);
    },
  );
});
