/** Plain requests of many boxes at few slots: what all boxes send together, and each failure of the admission. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { advanceSettled, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { PlainRequest } from "@stairgauge/forwarding";
import { createCapacityFleet } from "./capacity.testkit.js";
import { SERVICE } from "./capacityPlacer.testkit.js";
import type { FleetOptions } from "./capacityServers.testkit.js";

const DEFAULTS: FleetOptions = { boxes: 3, slots: [4, 4], extra: 6, work: 60, delay: 2 };
/** Time after which boxes have settled in their positions. */
const SETTLED_MS = 3_000;

/** A request that may not be sent to these servers. */
const makePlainRequest = (except: readonly string[]): PlainRequest => ({
  head: { id: "r" } as unknown as PlainRequest["head"],
  service: SERVICE,
  tier: 1,
  regions: undefined,
  workspace: undefined,
  subject: undefined,
  aimAt: 300 as Ms,
  endsAt: 4_000 as Ms,
  workMs: 60 as Ms,
  except: new Set(except as readonly ServerId[]),
});

const setUp = async (options: Partial<FleetOptions> = {}) => {
  const fleet = createCapacityFleet({ ...DEFAULTS, ...options });
  const advance = (duration: number) => advanceSettled(fleet.clock, duration as Ms);
  await advance(SETTLED_MS);
  /** Sends requests to the boxes in turn, or to one of them. */
  const load = async (count: number, gap: number, box?: number) => {
    for (let i = 0; i < count; i += 1) {
      fleet.sendRequest(
        box ?? i % fleet.fleet.length,
        `r${fleet.clock.monotonic()}-${i}`,
      );
      await advance(gap);
    }
  };
  const countEvents = (kind: string) =>
    fleet.events.filter((event) => event.kind === kind).length;
  return { ...fleet, advance, load, countEvents };
};

describe("the admission of plain requests", () => {
  it("sends never more than the usable slots with one admitting box (property)", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 2, max: 8 }),
        fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 3 }),
        fc.integer({ min: 1, max: 60 }),
        fc.integer({ min: 0, max: 10 }),
        async (boxes, slots, work, gap) => {
          const { load, markContended, servers } = await setUp({
            boxes,
            slots,
            work,
            extra: 9,
          });
          markContended();
          await load(120, gap);
          servers.maxPresent.forEach((most, i) =>
            expect(most).toBeLessThanOrEqual(
              slots[i]! + Math.max(1, Math.ceil(slots[i]! / 4)),
            ),
          );
        },
      ),
      { seed: 11, numRuns: 25 },
    );
  });

  it.each([3, 14])(
    "at %i boxes and twice the load that two servers serve, has less than a sixth rejected and keeps them busy",
    async (boxes) => {
      const { load, advance, outcomes } = await setUp({ boxes, maxWaiting: 30 });
      await load(266 * 4, 1_000 / 266);
      await advance(500);
      const sent = outcomes.served + outcomes.rejected;
      expect(outcomes.rejected / sent).toBeLessThanOrEqual(0.15);
      // The servers' capacity is 133 per second, and the last waiting requests take 0.3 s.
      expect(outcomes.served).toBeGreaterThanOrEqual(133 * 4.3 * 0.97);
      expect(outcomes.served + outcomes.rejected + outcomes.refused).toBe(266 * 4);
    },
  );

  it("asks nobody and records no runs while the service is open", async () => {
    const { load, fleet, events } = await setUp();
    await load(30, 40);
    expect(events).toEqual([]);
    expect(fleet.flatMap(({ registry }) => registry.listAllRuns())).toEqual([]);
  });

  it("records the requests that were open when the service became contended", async () => {
    const { load, fleet, advance, markContended } = await setUp();
    await load(6, 0);
    markContended();
    await advance(10);
    const [first] = fleet;
    const atServers = ["s0", "s1"].flatMap((id) =>
      first!.registry.listPeerRuns(id as ServerId),
    );
    expect(atServers).toHaveLength(4);
    await advance(100);
    expect(first!.registry.listPeerRuns("s0" as ServerId)).toEqual([]);
  });

  it("keeps no records of plain requests at a server that is not listed any more", async () => {
    const { fleet } = await setUp();
    const [, second] = fleet;
    const gone = "gone" as ServerId;
    const run = { id: "r", promptTokens: 0, expectedOut: 0 };
    const placed = { server: gone, run: { ...run, hasBegun: false, isMovable: false } };
    second!.receive({
      box: fleet[0]!.own,
      isWhole: false,
      put: [placed],
      drop: [],
      leaving: [],
      reports: [],
      broken: [],
      crashes: { ends: [], served: [] },
      limits: { named: [], lifted: [] },
    });
    expect(second!.registry.listPeersAt(gone)).toEqual([]);
  });
});

describe("a service that is contended since one box has used up its connections", () => {
  const USED_UP = { boxes: 14, connections: 100, maxWaiting: 0 };

  // Guards against refusing requests by slots although servers are idle and only a box is slow.
  it("has requests of that box and of the others served beyond the slots", async () => {
    const { load, advance, outcomes, fleet } = await setUp({ ...USED_UP, extra: 90 });
    await load(14, 0);
    await load(16, 0, 3);
    await advance(20);
    expect(fleet.every(({ capacity }) => capacity.isContended(SERVICE))).toBe(true);
    await load(14, 0);
    await advance(2_000);
    expect(outcomes).toMatchObject({ served: 44, rejected: 0, refused: 0 });
  });

  it("places a request elsewhere if its own part is used up at the servers that it may still try", async () => {
    const { load, advance, fleet } = await setUp({ ...USED_UP, extra: 90, work: 1_000 });
    await load(16, 0, 3);
    await advance(20);
    const { capacity, registry } = fleet[3]!;
    const open = (["s0", "s1"] as const).map((id) => registry.countOpen(id as ServerId));
    const request = makePlainRequest(["s0"]);
    expect(Math.min(...open)).toBeGreaterThanOrEqual(3);
    expect(capacity.plainAdmission.needsAdmission(request)).toBe(true);
    expect(fleet[4]!.capacity.plainAdmission.needsAdmission(request)).toBe(false);
    expect(
      fleet[4]!.capacity.plainAdmission.needsAdmission(makePlainRequest(["s0", "s1"])),
    ).toBe(true);
  });

  it("is contended by slots as soon as a server rejects a request", async () => {
    const { load, advance, outcomes, servers } = await setUp({ ...USED_UP, extra: 6 });
    for (let second = 0; second < 4; second += 1) {
      await load(60, 0, 3);
      await advance(1_000);
    }
    // The bound by slots lets four and one through at each server, and the rejections lower it further.
    servers.maxPresent.fill(0);
    const rejected = outcomes.rejected;
    await load(60, 0, 3);
    await advance(1_000);
    expect(Math.max(...servers.maxPresent)).toBeLessThanOrEqual(5);
    expect(outcomes.rejected).toBe(rejected);
  });

  it("has no more requests at a server than it accepts connections (property)", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 2, max: 14 }),
        fc.integer({ min: 40, max: 120 }),
        fc.array(fc.tuple(fc.integer({ min: 0, max: 13 }), fc.integer({ max: 80 })), {
          minLength: 1,
          maxLength: 6,
        }),
        async (boxes, connections, bursts) => {
          const options = { boxes, connections, extra: 200, maxWaiting: 40 };
          const { load, advance, servers } = await setUp({ ...options, work: 400 });
          for (const [box, count] of bursts) {
            await load(Math.max(0, count), 0, box % boxes);
            await advance(10);
          }
          for (const most of servers.maxPresent)
            expect(most).toBeLessThanOrEqual(connections);
        },
      ),
      { seed: 7, numRuns: 25 },
    );
  });
});

describe("failures of the admission", () => {
  it("serves within the safe part, and by the next box, when the admitting box dies while questions wait", async () => {
    const { load, advance, markContended, setLinks, outcomes, ejected, countEvents } =
      await setUp({ boxes: 5 });
    markContended();
    await load(30, 1, 3);
    await advance(10);
    expect(outcomes.waited).toBeGreaterThan(0);
    setLinks(0, "down");
    await advance(20);
    expect(countEvents("safe_part_used")).toBe(outcomes.waited);
    expect(ejected).toContain("b0");
    const admittedBefore = countEvents("plain_admitted");
    await load(4, 100, 3);
    expect(countEvents("plain_admitted")).toBe(admittedBefore + 4);
  });

  it("uses the safe part after the time limit when the link to the admitting box is silent", async () => {
    const { sendRequest, advance, markContended, setLinks, outcomes, ejected } =
      await setUp({
        boxes: 3,
      });
    markContended();
    setLinks(0, "silent");
    sendRequest(2, "r");
    await advance(59);
    expect(ejected).toEqual([]);
    // A fifth of the 300 ms until the target, and the work.
    await advance(62);
    expect(ejected).toEqual(["b0"]);
    expect(outcomes.served).toBe(1);
  });

  it("drops a waiting request whose box fell silent or whose client left", async () => {
    const { load, sendRequest, advance, markContended, setLinks, countEvents, outcomes } =
      await setUp({ boxes: 3, work: 2_000 });
    markContended();
    await load(10, 0, 0);
    const leave = sendRequest(1, "left");
    sendRequest(2, "silent");
    await advance(10);
    leave();
    setLinks(2, "silent");
    await advance(1_200);
    expect(countEvents("plain_given_up")).toBe(2);
    await advance(2_000);
    expect(outcomes.served).toBeLessThanOrEqual(11);
  });

  it("frees a slot that was given to a box whose answer came too late", async () => {
    const { sendRequest, advance, markContended, setLinks, fleet } = await setUp({
      slots: [4],
    });
    markContended();
    sendRequest(2, "late");
    await advance(3);
    setLinks(2, "silent");
    await advance(100);
    const count = () => fleet[0]!.registry.listPeerRuns("s0" as ServerId).length;
    expect(count()).toBe(1);
    await advance(500);
    expect(count()).toBe(0);
  });

  it("sends at most twice the usable slots when two boxes admit at once, and the servers' rejections are few", async () => {
    const {
      advance,
      sendRequest,
      markContended,
      setLink,
      servers,
      events,
      ejected,
      outcomes,
    } = await setUp({
      boxes: 6,
      slots: [6],
      work: 40,
    });
    markContended();
    // The last box gets no answer from the first one in time, and asks the second one for 3 s.
    setLink(5, 0, "silent");
    sendRequest(5, "unanswered");
    await advance(100);
    setLink(5, 0, "up");
    for (let i = 0; i < 200; i += 1) {
      sendRequest(i % 2 === 0 ? 5 : 1, `r${i}`);
      await advance(3);
    }
    const admitting = new Set(
      events.flatMap((event) => (event.kind === "plain_admitted" ? [event.box] : [])),
    );
    expect([...admitting].sort()).toEqual(["b1", "b5"]);
    expect(ejected).toEqual(["b0"]);
    expect(servers.maxPresent[0]).toBeLessThanOrEqual(2 * 8);
    expect(outcomes.rejected).toBeLessThanOrEqual(0.05 * outcomes.served);
  });

  it("sends at most the slots and one request per box while no box reaches another", async () => {
    const { sendRequest, advance, markContended, setLinks, servers, outcomes } =
      await setUp({
        boxes: 12,
        slots: [6],
        work: 3_900,
        extra: 99,
      });
    markContended();
    for (let i = 0; i < 12; i += 1) setLinks(i, "down");
    for (let i = 0; i < 12 * 4; i += 1) sendRequest(i % 12, `r${i}`);
    await advance(10);
    // Six boxes have one slot each as their part, and the other six send one request each.
    expect(servers.present[0]).toBe(12);
    expect(outcomes.refused).toBe(36);
  });

  it("does not use the answer of an older box, which takes the request for a generation", async () => {
    const {
      sendRequest,
      advance,
      markContended,
      setAnswer,
      countEvents,
      outcomes,
      ejected,
    } = await setUp();
    markContended();
    setAnswer(() => ({
      kind: "placed",
      server: "s0" as ServerId,
      reason: "most_free_memory",
      load: 0,
      memoryAfter: 0,
      reportAge: undefined,
      candidates: 2,
    }));
    sendRequest(2, "r");
    await advance(100);
    expect(countEvents("admission_not_used")).toBe(1);
    expect(outcomes.served).toBe(1);
    expect(ejected).toEqual([]);
  });

  it("counts an answer of an unknown kind and uses the safe part", async () => {
    const { sendRequest, advance, markContended, setAnswer, events, outcomes } =
      await setUp();
    markContended();
    setAnswer(() => ({ kind: "unknown" }));
    sendRequest(2, "r");
    await advance(100);
    expect(events).toContainEqual({
      kind: "admission_not_used",
      by: "b0",
      why: "unknown_kind",
    });
    expect(outcomes.served).toBe(1);
  });

  it("is open again 5 s after the last sign", async () => {
    const { advance, markContended, fleet } = await setUp();
    markContended();
    await advance(5_000);
    expect(fleet.some(({ capacity }) => capacity.isContended(SERVICE))).toBe(false);
  });
});

describe("brittle servers", () => {
  /** Most rejections of one server within a second. */
  const countMostRejected = (
    rejections: readonly Readonly<{ server: string; at: number }>[],
  ) =>
    Math.max(
      0,
      ...rejections.map(
        ({ server, at }) =>
          rejections.filter(
            (one) => one.server === server && one.at >= at && one.at < at + 1_000,
          ).length,
      ),
    );
  const ALLOWED = 4;

  it.each([
    [3, 2],
    [14, 2],
    [14, 40],
    [14, 90],
    [64, 40],
  ])(
    "reject few requests of %i boxes whose messages take %i ms, at twice the load that they serve",
    async (boxes, delay) => {
      const { load, outcomes, rejections } = await setUp({
        boxes,
        delay,
        slots: [3, 3, 3],
        extra: 2,
        maxWaiting: 30,
        isBrittle: true,
      });
      await load(40, 100);
      await load(300 * 5, 1_000 / 300);
      expect(countMostRejected(rejections)).toBeLessThanOrEqual(ALLOWED);
      expect(outcomes.served).toBeGreaterThan(0);
    },
  );
});
