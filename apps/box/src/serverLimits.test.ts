/**
 * Guards against ignoring the limits in servers' answers, in requests per second from all boxes
 * together. Two of four servers announced 1.7 and 1.9; 3 s later one had got 23 requests in 4 s
 * where 15 are allowed, 13 of them from one box, all first attempts. The log lines named no
 * limit:
 *
 *   {"box":"edge-rennes-b-1","request":"4aff","server":"i-8d15","afterMs":32,"status":200,"event":"answered"}
 *   {"box":"edge-rennes-b-2","request":"3787","server":"i-8d15","afterMs":21,"status":200,"event":"answered"}
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

describe("a server that announces a limit", () => {
  it.each<[string, SignalCase, number]>([
    ["plain, 3 boxes", { path: "/once/", kind: "plain", boxes: 3, perSecond: 60 }, 1.7],
    ["plain, 7 boxes", { path: "/again/", kind: "plain", boxes: 7, perSecond: 60 }, 1.9],
    [
      "plain, 14 boxes",
      { path: "/again/", kind: "plain", boxes: 14, perSecond: 60 },
      1.7,
    ],
    [
      "plain, 30 boxes",
      { path: "/once/", kind: "plain", boxes: 30, perSecond: 100 },
      0.5,
    ],
  ])("gets no more requests than it allows: %s", async (_, signalCase, perSecond) => {
    const { servers, setLimit, sendFor } = await startSignalSite(signalCase);
    setLimit(() => String(perSecond), 0);
    const sent = await sendFor(LIMIT_CONTACT_MS + COUNTED_MS);
    const most = countMaxInWindow(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeMaxRequests(perSecond));
    // The other servers take the remaining requests, so none is refused.
    expect(await collectAnswers(sent)).not.toContain(REFUSED);
  });
});
