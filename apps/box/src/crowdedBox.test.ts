/**
 * Guards against a box that serves few of its requests while most new connections of all clients are handed to it: what
 * boxes share of places, limits and queues has to follow the demand within the contact time, also to the next box.
 */
import { describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import { CONTACT_MS } from "./crashingRequests.testkit.js";
import { startLoadSite, type LoadRequest, type ServerSpec } from "./hardLoad.testkit.js";

/** Copies of the crowded box among the receivers for each other box: it gets 95 of 100 requests. */
const CROWDED_WEIGHT = 19;

/** Share of the requests served while boxes are alike that is still served at a crowded box, by the users' rule. */
const MIN_SERVED_SHARE = 0.75;

/** The load begins to count at 4 s. */
const CROWDED_AT_MS = 8_000;
const MOVED_AT_MS = 15_000;
const ENDS_AT_MS = 22_000;

/** 133 requests per second together. */
const SERVERS = [1, 2].map((): ServerSpec => ({ slots: 4, queue: 6, serviceMs: 60 }));
const CAPACITY_PER_SECOND = 133;

/** Share of the requests sent in a span that were served at the first try. */
const computeServed = (requests: readonly LoadRequest[], from: number, to: number) => {
  const sent = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  return sent.filter(({ status }) => status === 200).length / sent.length;
};

describe("a box that gets most new connections", () => {
  it.each([
    [7, 0.7],
    [14, 0.7],
    [7, 1],
  ])(
    "serves its requests, and so does the next one: %i boxes, %d of what servers can do",
    async (boxes, load) => {
      const perSecond = CAPACITY_PER_SECOND * load;
      const sources = [{ workspace: "w", tier: 1, perSecond }];
      const site = await startLoadSite({ servers: SERVERS, sources, boxes });
      const setCrowded = (box: number) => {
        const crowded = site.fleet[box]!;
        const others = site.fleet.filter((one) => one !== crowded);
        const copies = Array.from(
          { length: CROWDED_WEIGHT * others.length },
          () => crowded,
        );
        site.setReceivers([...copies, ...others]);
      };
      const { requests } = await site.run(ENDS_AT_MS, [
        { atMs: CROWDED_AT_MS, run: () => setCrowded(0) },
        { atMs: MOVED_AT_MS, run: () => setCrowded(1) },
      ]);
      const begunAt = Math.min(...requests.map(({ sentAt }) => sentAt)) - 4_000;
      const measure = (from: number, to: number) =>
        computeServed(requests, begunAt + from, begunAt + to);
      const before = measure(0, CROWDED_AT_MS);
      const shares = [
        measure(CROWDED_AT_MS + CONTACT_MS, MOVED_AT_MS) / before,
        measure(MOVED_AT_MS + CONTACT_MS, ENDS_AT_MS) / before,
      ];
      expect(Math.min(...shares), shares.join(" ")).toBeGreaterThanOrEqual(
        MIN_SERVED_SHARE,
      );
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
