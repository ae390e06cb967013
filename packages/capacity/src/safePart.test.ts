/** The slots of boxes on their own: the sum over all of them, and at least one for each. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createFleetPlaces } from "@stairgauge/placement";
import { computeSafePart } from "./index.js";

const makeServers = (slots: readonly number[]) =>
  slots.map((count, i) => ({ id: `s${i}` as ServerId, slots: count }));

const createSettledPlaces = (rank: number, boxes: number) => {
  const clock = createVirtualClock();
  const places = createFleetPlaces(clock);
  places.setPlace({ rank, boxes });
  clock.advance(3_000 as Ms);
  return places;
};

/** Sends requests until the safe part is used up, and returns how many were sent. */
const sendWithinPart = (
  servers: ReturnType<typeof makeServers>,
  places: Pick<ReturnType<typeof createFleetPlaces>, "computePart">,
  isBrittle = false,
): number => {
  const open = new Map<ServerId, number>();
  const countOpen = (server: ServerId) => open.get(server) ?? 0;
  for (let sent = 0; ; sent += 1) {
    const [next] = computeSafePart({
      servers,
      places,
      countOpen,
      isBrittle,
    }).usable;
    if (next === undefined) return sent;
    open.set(next, countOpen(next) + 1);
  }
};

describe("computeSafePart", () => {
  it("gives each of 6 to 473 boxes at least one request, and all together at most the slots and one request per box without a part (property)", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 6, max: 473 }),
        fc.array(fc.integer({ min: 1, max: 24 }), { minLength: 1, maxLength: 5 }),
        (boxes, slots) => {
          const servers = makeServers(slots);
          const total = slots.reduce((sum, one) => sum + one, 0);
          const sent = Array.from({ length: boxes }, (_, rank) => {
            const places = createSettledPlaces(rank, boxes);
            const parts = servers.map(({ id: server, slots: whole }) =>
              places.computePart({ whole, server, isPlacedByFirst: false }),
            );
            const isWithoutPart = parts.every((part) => part === 0);
            return { count: sendWithinPart(servers, places), isWithoutPart };
          });
          const without = sent.filter(({ isWithoutPart }) => isWithoutPart).length;
          expect(Math.min(...sent.map(({ count }) => count))).toBeGreaterThanOrEqual(1);
          expect(sent.reduce((sum, { count }) => sum + count, 0)).toBe(total + without);
        },
      ),
      { seed: 7, numRuns: 40 },
    );
  });

  it("gives 6 to 473 boxes together no more than the slots of brittle servers (property)", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 6, max: 473 }),
        fc.array(fc.integer({ min: 1, max: 24 }), { minLength: 1, maxLength: 5 }),
        (boxes, slots) => {
          const servers = makeServers(slots);
          const sent = Array.from({ length: boxes }, (_, rank) =>
            sendWithinPart(servers, createSettledPlaces(rank, boxes), true),
          );
          expect(sent.reduce((sum, count) => sum + count, 0)).toBe(
            slots.reduce((sum, one) => sum + one, 0),
          );
        },
      ),
      { seed: 7, numRuns: 40 },
    );
  });

  it("serves one request at a time in a box whose position has not settled", () => {
    const places = { computePart: () => 0 };
    expect(sendWithinPart(makeServers([6, 6]), places)).toBe(1);
  });
});
