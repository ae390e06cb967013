/**
 * The load: a server comes back cold and empty while more work waits than it bears, and every box wants to send to it at once. The
 * bound counts at the server, over all boxes, in any one second. Boxes ask whom they take for the first to place; hubs are lost,
 * boxes see different ones, answers and requests are late, a box wakes up with a place in hand, and all start at once.
 */
import { describe, expect, it } from "vitest";
import fc from "fast-check";
import {
  createSeededRandom,
  createVirtualClock,
  type Ms,
  type Random,
  type ServiceName,
  type VirtualClock,
} from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createFleetPlaces } from "@stairgauge/placement";
import { createColdLimits, type ColdLimits } from "./coldLimits.js";

const SERVER = "e0" as ServerId;
const SERVICE = "writers" as ServiceName;
const BOUND = { overage: 1.5, slack: 5 };
const PER_SECOND = 20;
const MAX_IN_A_SECOND = PER_SECOND * BOUND.overage + BOUND.slack;
/** Longest that a place may be on its way to the box that asked, and a request to its server. */
const PLACE_MS = 150;
const CONNECT_MS = 250;
/** Time after which a box's place in a changed list is settled. */
const SETTLED_MS = 3_000;

type FleetSize = Readonly<{ boxes: number; isPlacedByHubs: boolean }>;

const createFleet = (clock: VirtualClock, { boxes, isPlacedByHubs }: FleetSize) => {
  const places = Array.from({ length: boxes }, () => createFleetPlaces(clock));
  const limits = places.map((one) =>
    createColdLimits({
      clock,
      places: one,
      bound: BOUND,
      sendWithin: (PLACE_MS + CONNECT_MS) as Ms,
      spells: { mayBeCold: () => true },
      findWarmUp: () => ({ duration: 1_000 as Ms, perSecond: PER_SECOND }),
      isPlacedByHubs: () => isPlacedByHubs,
    }),
  );
  const setPlaces = () => places.forEach((one, rank) => one.setPlace({ rank, boxes }));
  return { limits, places, setPlaces };
};

const takePlace = (limits: ColdLimits): boolean => {
  if (!limits.mayTake(SERVER, SERVICE)) return false;
  limits.record(SERVER);
  return true;
};

/** The most requests that arrive within one second, counted from each arrival on. */
const countMostInASecond = (arrivals: readonly number[]): number => {
  const sorted = arrivals.toSorted((a, b) => a - b);
  let most = 0;
  let from = 0;
  sorted.forEach((arrival, i) => {
    while (arrival - sorted[from]! >= 1_000) from += 1;
    most = Math.max(most, i - from + 1);
  });
  return most;
};

type PlayOptions = Readonly<{
  size: FleetSize;
  random: Random;
  /** Whom a box takes for the first to place, by rank. */
  chooseHub: (box: number) => number;
  isFrozen: (box: number, now: number) => boolean;
  /** Longest that a place is under way from a hub to the box that asked. */
  mostPlaceDelayMs: number;
  durationMs: number;
}>;

const LOOK_MS = 20;

/** All boxes want to send all the time; gives the times of arrival at the server. */
const runSaturated = (options: PlayOptions): readonly number[] => {
  const { size, random, chooseHub, isFrozen, mostPlaceDelayMs, durationMs } = options;
  const clock = createVirtualClock();
  const { limits, setPlaces } = createFleet(clock, size);
  const arrivals: number[] = [];
  setPlaces();
  clock.advance(SETTLED_MS as Ms);
  const getNow = () => clock.monotonic();

  const send = () => {
    const delay = random.nextInt(0, CONNECT_MS);
    clock.setTimer(delay as Ms, () => arrivals.push(getNow()));
  };
  const askHub = (box: number, hub: number) => {
    const askedAt = getNow();
    if (isFrozen(hub, askedAt) || !takePlace(limits[hub]!)) return;
    const take = () => {
      if (isFrozen(box, getNow())) {
        clock.setTimer(LOOK_MS as Ms, take);
        return;
      }
      // A place that was too long under way is void, as where a box has been held up.
      if (getNow() - askedAt <= PLACE_MS) send();
    };
    clock.setTimer(random.nextInt(0, mostPlaceDelayMs) as Ms, take);
  };
  const look = (box: number) => {
    if (!isFrozen(box, getNow())) {
      const hub = size.isPlacedByHubs ? chooseHub(box) : box;
      if (hub !== box) askHub(box, hub);
      else if (takePlace(limits[box]!)) send();
    }
    clock.setTimer(LOOK_MS as Ms, () => look(box));
  };
  for (let box = 0; box < size.boxes; box += 1)
    clock.setTimer(random.nextInt(0, LOOK_MS) as Ms, () => look(box));
  clock.advance(durationMs as Ms);
  return arrivals;
};

const SIZES: readonly FleetSize[] = [
  { boxes: 6, isPlacedByHubs: false },
  { boxes: 64, isPlacedByHubs: true },
  { boxes: 64, isPlacedByHubs: false },
  { boxes: 195, isPlacedByHubs: true },
  { boxes: 473, isPlacedByHubs: true },
];

describe("what all boxes together send to a cold server", () => {
  it.each(SIZES)(
    "stays within its bound with $boxes boxes (by hubs: $isPlacedByHubs) that freeze and see different hubs (property)",
    (size) => {
      fc.assert(
        fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
          const random = createSeededRandom(seed);
          const wakesAt = new Map(
            Array.from({ length: size.boxes }, (_, box) => box)
              .filter(() => random.nextFloat() < 0.2)
              .map((box) => [box, SETTLED_MS + random.nextInt(0, 3_000)] as const),
          );
          const arrivals = runSaturated({
            size,
            random,
            chooseHub: (box) => {
              // Some take one of the next for the first, some see no hub and decide themselves.
              const seen = random.nextInt(0, 6);
              return seen < Math.min(4, size.boxes) ? seen : box;
            },
            isFrozen: (box, now) =>
              now < (wakesAt.get(box) ?? -1) && now > SETTLED_MS + 500,
            mostPlaceDelayMs: 2 * PLACE_MS,
            durationMs: 4_000,
          });
          expect(countMostInASecond(arrivals)).toBeLessThanOrEqual(MAX_IN_A_SECOND);
        }),
        { seed: 11, numRuns: size.boxes > 100 ? 4 : 15 },
      );
    },
  );

  it("is eight tenths of what the server bears or more when work waits and all see the first hub", () => {
    const durationMs = 10_000;
    const arrivals = runSaturated({
      size: { boxes: 64, isPlacedByHubs: true },
      random: createSeededRandom(4),
      chooseHub: () => 0,
      isFrozen: () => false,
      mostPlaceDelayMs: 10,
      durationMs,
    });
    expect(arrivals.length / (durationMs / 1_000)).toBeGreaterThanOrEqual(
      0.8 * PER_SECOND,
    );
  });

  it("is used whole by boxes that each decide for themselves", () => {
    const durationMs = 10_000;
    const arrivals = runSaturated({
      size: { boxes: 6, isPlacedByHubs: false },
      random: createSeededRandom(4),
      chooseHub: (box) => box,
      isFrozen: () => false,
      mostPlaceDelayMs: 10,
      durationMs,
    });
    expect(arrivals.length / (durationMs / 1_000)).toBeGreaterThanOrEqual(
      0.8 * PER_SECOND,
    );
  });
});

describe("a box whose place in the list changes", () => {
  const setUp = () => {
    const clock = createVirtualClock();
    const { limits, places } = createFleet(clock, { boxes: 1, isPlacedByHubs: true });
    const countTaken = () => {
      let taken = 0;
      while (takePlace(limits[0]!)) taken += 1;
      return taken;
    };
    return { clock, places: places[0]!, countTaken };
  };

  it("sends nothing to a cold server before its first place is settled", () => {
    const { clock, places, countTaken } = setUp();
    expect(countTaken()).toBe(0);
    places.setPlace({ rank: 0, boxes: 64 });
    clock.advance((SETTLED_MS - 1) as Ms);
    expect(countTaken()).toBe(0);
    clock.advance(1 as Ms);
    expect(countTaken()).toBe(24);
  });

  it("takes a larger part only once all have heard of the change, and a smaller one at once", () => {
    const { clock, places, countTaken } = setUp();
    places.setPlace({ rank: 1, boxes: 64 });
    clock.advance(SETTLED_MS as Ms);
    places.setPlace({ rank: 0, boxes: 63 });
    expect(countTaken()).toBe(7);
    clock.advance(SETTLED_MS as Ms);
    expect(countTaken()).toBe(24);
    clock.advance(SETTLED_MS as Ms);
    places.setPlace({ rank: 1, boxes: 64 });
    expect(countTaken()).toBe(7);
  });

  it("keeps 0.7 of the bound to itself at servers that are not known to be cold, where boxes place for others", () => {
    const clock = createVirtualClock();
    const limits = createColdLimits({
      clock,
      places: createFleetPlaces(clock),
      bound: BOUND,
      sendWithin: 400 as Ms,
      spells: { mayBeCold: () => false },
      findWarmUp: () => ({ duration: 1_000 as Ms, perSecond: PER_SECOND }),
      isPlacedByHubs: () => true,
    });
    let taken = 0;
    while (takePlace(limits)) taken += 1;
    expect(taken).toBe(24);
  });

  it("limits nothing where servers bear all that they can from their start on", () => {
    const clock = createVirtualClock();
    const limits = createColdLimits({
      clock,
      places: createFleetPlaces(clock),
      bound: BOUND,
      sendWithin: 400 as Ms,
      spells: { mayBeCold: () => true },
      findWarmUp: () => undefined,
      isPlacedByHubs: () => true,
    });
    for (let i = 0; i < 500; i += 1) expect(takePlace(limits)).toBe(true);
  });
});
