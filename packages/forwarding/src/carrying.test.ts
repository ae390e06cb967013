/**
 * Guards requests of boxes that lost paths: while another box reaches the server they are served, and
 * whatever fails on the way, none runs twice and none is said not to have run although it has.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { MAX_OFFERS } from "@stairgauge/paths";
import { createCarryingFleet, toBox, type Cut } from "./carrying.testkit.js";

const FOREVER = Number.MAX_SAFE_INTEGER;

/** Longest time in which a request is served although each way had to be found first. */
const SERVED_WITHIN_MS = 1_200;

const createCut = (box: number, servers: number, isRefused = false): Cut => ({
  box,
  servers: Array.from({ length: servers }, (_, i) => i),
  from: 0,
  to: FOREVER,
  isRefused,
});

describe("a request whose path is cut", () => {
  it.each([false, true])(
    "is carried within the same attempt, connections refused: %s",
    (isRefused) => {
      const fleet = createCarryingFleet({
        boxes: 3,
        servers: 2,
        cuts: [createCut(0, 2, isRefused)],
      });
      const sent = fleet.send(0, 0, "a");
      fleet.clock.advance(400 as Ms);
      expect(sent.getOutcome()).toMatchObject({ kind: "served" });
      expect(sent.getOutcome().carrier).not.toBeUndefined();
      expect(fleet.countRuns("a")).toBe(1);
    },
  );

  it("is carried at once after requests to two servers were lost, to any server", () => {
    const fleet = createCarryingFleet({ boxes: 3, servers: 3, cuts: [createCut(0, 3)] });
    fleet.send(0, 0, "a");
    fleet.send(0, 1, "b");
    fleet.clock.advance(500 as Ms);
    fleet.send(0, 0, "c");
    fleet.send(0, 1, "d");
    fleet.clock.advance(500 as Ms);
    const sent = fleet.send(0, 2, "e");
    fleet.clock.advance(100 as Ms);
    expect(sent.getOutcome()).toMatchObject({ kind: "served" });
    expect(sent.getOutcome().after).toBeLessThan(50);
  });

  it("is not carried by a box that lost its own path", () => {
    const fleet = createCarryingFleet({
      boxes: 3,
      servers: 2,
      cuts: [createCut(0, 2, true), createCut(1, 2, true)],
    });
    for (const box of [0, 1])
      for (const server of [0, 1]) fleet.send(box, server, `${box}${server}`);
    fleet.clock.advance(500 as Ms);
    const sent = Array.from({ length: 20 }, (_, i) => fleet.send(0, i % 2, `r${i}`));
    fleet.clock.advance(200 as Ms);
    expect(new Set(sent.map(({ getOutcome }) => getOutcome().carrier))).toEqual(
      new Set([toBox(2)]),
    );
  });

  it("is spread over the boxes that reach the server", () => {
    const fleet = createCarryingFleet({
      boxes: 5,
      servers: 1,
      cuts: [createCut(0, 1, true)],
    });
    const sent = Array.from({ length: 40 }, (_, i) => fleet.send(0, 0, `r${i}`));
    fleet.clock.advance(200 as Ms);
    const carriers = sent.map(({ getOutcome }) => getOutcome().carrier);
    for (const box of [1, 2, 3, 4])
      expect(carriers.filter((one) => one === toBox(box))).toHaveLength(10);
  });

  it("is unreachable, and not said to have run, when no box reaches the server", () => {
    const fleet = createCarryingFleet({ boxes: 4, servers: 2, cuts: [] });
    fleet.setDown(0);
    const first = fleet.send(0, 0, "a");
    fleet.clock.advance(500 as Ms);
    expect(first.getOutcome()).toMatchObject({
      kind: "unreachable",
      detail: "ECONNREFUSED",
    });
    expect(fleet.events.filter(({ kind }) => kind === "lost")).toEqual([]);
  });

  it("asks one carrier about a silent server while the box reaches others", () => {
    const fleet = createCarryingFleet({
      boxes: 6,
      servers: 2,
      cuts: [0, 1, 2, 3, 4, 5].map((box) => ({ ...createCut(box, 1), servers: [0] })),
    });
    fleet.send(0, 1, "a");
    fleet.clock.advance(100 as Ms);
    const sent = fleet.send(0, 0, "b");
    fleet.clock.advance(800 as Ms);
    expect(sent.getOutcome()).toMatchObject({ kind: "unreachable" });
    expect(
      fleet.events.filter(({ kind }) => kind === "carrier_passed_over"),
    ).toHaveLength(1);
  });

  it("is offered to no carrier again for a moment after carriers failed to reach the server", () => {
    const fleet = createCarryingFleet({ boxes: 4, servers: 2, cuts: [] });
    fleet.setDown(0);
    fleet.send(0, 0, "a");
    fleet.clock.advance(300 as Ms);
    const before = fleet.events.length;
    const sent = fleet.send(0, 0, "b");
    fleet.clock.advance(100 as Ms);
    expect(sent.getOutcome()).toMatchObject({ kind: "unreachable" });
    expect(fleet.events.length).toBe(before);
  });

  it("is offered to few carriers while servers are down that all boxes failed to reach a moment ago", () => {
    const boxes = 7;
    const fleet = createCarryingFleet({ boxes, servers: 4, cuts: [] });
    fleet.setDown(0);
    fleet.setDown(1);
    const sendRound = (round: number) => {
      for (let box = 0; box < boxes; box += 1)
        for (const server of [0, 1, 2, 3])
          fleet.send(box, server, `${round} ${box} ${server}`);
      fleet.clock.advance(100 as Ms);
    };
    for (let round = 0; round < 4; round += 1) sendRound(round);
    const asked = fleet.events.filter(({ kind }) => kind === "carrier_passed_over");
    // Each box asks one other about each server that is down.
    expect(asked.length).toBeLessThanOrEqual(boxes * 2);
  });

  it("is offered to a bounded number of carriers a second, however many have lost their paths", () => {
    const boxes = 64;
    const fleet = createCarryingFleet({
      boxes,
      servers: 2,
      cuts: Array.from({ length: boxes }, (_, box) => createCut(box, 2, true)),
    });
    for (let box = 0; box < boxes; box += 1)
      for (const server of [0, 1]) fleet.send(box, server, `learn ${box} ${server}`);
    fleet.clock.advance(1_000 as Ms);
    const before = fleet.events.length;
    for (let round = 0; round < 10; round += 1) {
      fleet.send(0, 0, `again ${round}`);
      fleet.clock.advance(100 as Ms);
    }
    const asked = fleet.events
      .slice(before)
      .filter(({ kind }) => kind === "carrier_passed_over");
    expect(asked.length).toBeLessThanOrEqual(2 * MAX_OFFERS);
  });

  it("stays open when its carrier stops after it has taken the request, and is offered to no other", () => {
    const fleet = createCarryingFleet({
      boxes: 3,
      servers: 1,
      cuts: [createCut(0, 1, true)],
    });
    const sent = fleet.send(0, 0, "a");
    fleet.clock.advance(15 as Ms);
    for (const box of [1, 2]) fleet.stop(box);
    fleet.clock.advance(2_000 as Ms);
    expect(sent.getOutcome().kind).toBe("open");
    expect(fleet.countRuns("a")).toBe(1);
  });

  it("goes to another box while the carriers have no room, and none exceeds its bound", () => {
    const fleet = createCarryingFleet({
      boxes: 4,
      servers: 1,
      cuts: [createCut(0, 1, true)],
      maxRequests: 10,
    });
    const sent = Array.from({ length: 40 }, (_, i) => fleet.send(0, 0, `r${i}`));
    fleet.clock.advance(1_000 as Ms);
    expect(fleet.getMaxCarried()).toBe(10);
    const kinds = sent.map(({ getOutcome }) => getOutcome().kind);
    expect(kinds.filter((kind) => kind === "served")).toHaveLength(30);
    expect(kinds.filter((kind) => kind === "unreachable")).toHaveLength(10);
  });
});

describe("requests over any cuts", () => {
  const generateCut = (boxes: number, servers: number): fc.Arbitrary<Cut> =>
    fc
      .record({
        box: fc.nat(boxes - 1),
        servers: fc.subarray(
          Array.from({ length: servers }, (_, i) => i),
          { minLength: 1 },
        ),
        from: fc.nat(500),
        lasts: fc.nat(3_000),
        isRefused: fc.boolean(),
      })
      .map(({ lasts, ...cut }) => ({ ...cut, to: cut.from + lasts }));
  const days = fc
    .record({
      boxes: fc.integer({ min: 2, max: 6 }),
      servers: fc.integer({ min: 1, max: 6 }),
      seed: fc.nat(),
    })
    .chain((size) =>
      fc.record({
        size: fc.constant(size),
        cuts: fc.array(generateCut(size.boxes, size.servers), { maxLength: 16 }),
        requests: fc.array(
          fc.record({
            box: fc.nat(size.boxes - 1),
            server: fc.nat(size.servers - 1),
            at: fc.nat(1_500),
          }),
          { minLength: 1, maxLength: 40 },
        ),
        stops: fc.array(fc.record({ box: fc.nat(size.boxes - 1), at: fc.nat(1_500) }), {
          maxLength: 4,
        }),
      }),
    );

  it("run at most once, and never after they were said not to have been sent", () => {
    fc.assert(
      fc.property(days, ({ size, cuts, requests, stops }) => {
        const fleet = createCarryingFleet({ ...size, cuts });
        const steps = [
          ...requests.map(({ at, box, server }, i) => ({
            at,
            run: () => ({ id: `r${i}`, ...fleet.send(box, server, `r${i}`) }),
          })),
          ...stops.map(({ at, box }) => ({
            at,
            run: () => {
              fleet.stop(box);
              return undefined;
            },
          })),
        ].toSorted((a, b) => a.at - b.at);
        const sent = steps.flatMap(({ at, run }) => {
          fleet.clock.advance((at - fleet.clock.monotonic()) as Ms);
          return run() ?? [];
        });
        fleet.clock.advance(5_000 as Ms);
        for (const { id, getOutcome } of sent) {
          const { kind } = getOutcome();
          expect(fleet.countRuns(id)).toBeLessThanOrEqual(1);
          if (kind === "unreachable") expect(fleet.countRuns(id)).toBe(0);
          if (kind === "served") expect(fleet.countRuns(id)).toBe(1);
        }
      }),
      { seed: 56, numRuns: 1_000 },
    );
  });

  it.each([
    [6, undefined],
    [64, 10],
    [473, 10],
  ])(
    "are served while a box that can be asked reaches the server: %i boxes, %s asked at most",
    (boxes, asked) => {
      fc.assert(
        fc.property(
          fc.array(fc.nat(boxes - 1), { maxLength: boxes - 1 }),
          fc.boolean(),
          fc.nat(),
          (cutBoxes, isRefused, seed) => {
            const cut = new Set(cutBoxes);
            const servers = 4;
            const listCarriers = (box: number) =>
              Array.from({ length: asked ?? boxes }, (_, i) => (box + 1 + i * 7) % boxes);
            const fleet = createCarryingFleet({
              boxes,
              servers,
              seed,
              cuts: [...cut].map((box) => createCut(box, servers, isRefused)),
              listCarriers,
            });
            // All cut boxes have traffic, and have learned from it.
            for (const box of cut)
              for (const round of [0, 1]) fleet.send(box, round, `learn ${box} ${round}`);
            fleet.clock.advance(2_000 as Ms);
            for (const box of cut)
              for (const round of [0, 1]) fleet.send(box, round, `again ${box} ${round}`);
            fleet.clock.advance(2_000 as Ms);
            for (const box of [...cut].slice(0, 20)) {
              const reaching = listCarriers(box).filter(
                (other) => other !== box && !cut.has(other),
              );
              if (reaching.length === 0) continue;
              const sent = fleet.send(box, seed % servers, `tried ${box}`);
              fleet.clock.advance(SERVED_WITHIN_MS as Ms);
              expect(sent.getOutcome().kind).toBe("served");
            }
          },
        ),
        { seed: 56, numRuns: 30 },
      );
    },
  );
});
