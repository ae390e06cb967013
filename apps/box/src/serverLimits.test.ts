/**
 * Two of four plain servers named in their answers how many requests a second they take from all boxes together, 1.7 and 1.9. No
 * box read it: 3 s later one had got 23 requests in 4 s where 15 are allowed, 13 of them from one box that stands beside it, all of
 * them first tries. Boxes wrote `placed` and `answered` lines as before and after; none named a limit.
 *
 *   {"box":"edge-rennes-b-1","request":"4aff","server":"i-8d15","afterMs":32,"status":200,"event":"answered"}
 *   {"box":"edge-rennes-b-2","request":"3787","server":"i-8d15","afterMs":21,"status":200,"event":"answered"}
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

describe("a server that names a limit", () => {
  it.each<[string, SignCase, number]>([
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
  ])("gets no more than it allows: %s", async (_, signCase, perSecond) => {
    const { servers, setNaming, sendFor } = await startSignSite(signCase);
    setNaming(() => String(perSecond), 0);
    const sent = await sendFor(LIMIT_CONTACT_MS + COUNTED_MS);
    const most = countMostFromTold(listCounted(servers.listArrivals(0)));
    expect(most).toBeLessThanOrEqual(computeAllowed(perSecond));
    // The others take the rest: nobody is refused.
    expect(await collectAnswers(sent)).not.toContain(REFUSED);
  });
});
