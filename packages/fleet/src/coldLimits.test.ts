/**
 * Scenario: a server comes back cold and empty while more work waits than it can handle, and every
 * box wants to send to it at once. The bound applies at the server, over all boxes, in any one
 * second.
 *
 * Boxes ask the hub that they consider to be the first one. Hubs are lost, boxes have different
 * first hubs, answers and requests are delayed, a frozen box resumes with a place it was given
 * earlier, and all start at the same time.
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
/**
 * Longest time in which a place given by a hub is still valid for the asking box, and longest delay
 * of a request to its server.
 */
const PLACE_MS = 150;
const CONNECT_MS = 250;
/** Time after which a box's position in a changed list has settled. */
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
      coldPeriods: { mayBeCold: () => true },
      findWarmUp: () => ({ duration: 1_000 as Ms, perSecond: PER_SECOND }),
      isPlacedByHubs: () => isPlacedByHubs,
    }),
  );
  const setPlaces = () => places.forEach((one, rank) => one.setPlace({ rank, boxes }));
  return { limits, places, setPlaces };
};

const recordIfAllowed = (limits: ColdLimits): boolean => {
  if (!limits.mayTake(SERVER, SERVICE)) return false;
  limits.record(SERVER);
  return true;
};

/**
 * Returns the largest number of requests that arrive within one second, counted from each arrival
 * on.
 */
const countMostInASecond = (arrivals: readonly number[]): number => {
  const sorted = arrivals.toSorted((a, b) => a - b);
  let maxCount = 0;
  let from = 0;
  sorted.forEach((arrival, i) => {
    while (arrival - sorted[from]! >= 1_000) from += 1;
    maxCount = Math.max(maxCount, i - from + 1);
  });
  return maxCount;
};

type SaturationOptions = Readonly<{
  size: FleetSize;
  random: Random;
  /** Returns the rank of the box that the given box considers to be the first hub. */
  chooseHub: (box: number) => number;
  isFrozen: (box: number, now: number) => boolean;
  /** Longest delay of a place from a hub to the asking box. */
  maxPlaceDelayMs: number;
  durationMs: number;
}>;

const CHECK_INTERVAL_MS = 20;

/**
 * Simulates boxes that all try to send all the time. Returns the times of arrival at the server.
 */
const runSaturated = (options: SaturationOptions): readonly number[] => {
  const { size, random, chooseHub, isFrozen, maxPlaceDelayMs, durationMs } = options;
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
    if (isFrozen(hub, askedAt) || !recordIfAllowed(limits[hub]!)) return;
    const acceptPlace = () => {
      if (isFrozen(box, getNow())) {
        clock.setTimer(CHECK_INTERVAL_MS as Ms, acceptPlace);
        return;
      }
      // A place that arrives too late is dropped, as on a box that was held up.
      if (getNow() - askedAt <= PLACE_MS) send();
    };
    clock.setTimer(random.nextInt(0, maxPlaceDelayMs) as Ms, acceptPlace);
  };
  const attemptSend = (box: number) => {
    if (!isFrozen(box, getNow())) {
      const hub = size.isPlacedByHubs ? chooseHub(box) : box;
      if (hub !== box) askHub(box, hub);
      else if (recordIfAllowed(limits[box]!)) send();
    }
    clock.setTimer(CHECK_INTERVAL_MS as Ms, () => attemptSend(box));
  };
  for (let box = 0; box < size.boxes; box += 1)
    clock.setTimer(random.nextInt(0, CHECK_INTERVAL_MS) as Ms, () => attemptSend(box));
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

describe("createColdLimits, for the requests of all boxes to a cold server", () => {
  it.each(SIZES)(
    "keeps the bound with $boxes boxes (by hubs: $isPlacedByHubs) that freeze and have different hubs (property)",
    (size) => {
      fc.assert(
        fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
          const random = createSeededRandom(seed);
          const frozenUntil = new Map(
            Array.from({ length: size.boxes }, (_, box) => box)
              .filter(() => random.nextFloat() < 0.2)
              .map((box) => [box, SETTLED_MS + random.nextInt(0, 3_000)] as const),
          );
          const arrivals = runSaturated({
            size,
            random,
            chooseHub: (box) => {
              // Some boxes consider a later hub to be the first one; some have no hub and decide
              // themselves.
              const hub = random.nextInt(0, 6);
              return hub < Math.min(4, size.boxes) ? hub : box;
            },
            isFrozen: (box, now) =>
              now < (frozenUntil.get(box) ?? -1) && now > SETTLED_MS + 500,
            maxPlaceDelayMs: 2 * PLACE_MS,
            durationMs: 4_000,
          });
          expect(countMostInASecond(arrivals)).toBeLessThanOrEqual(MAX_IN_A_SECOND);
        }),
        { seed: 11, numRuns: size.boxes > 100 ? 4 : 15 },
      );
    },
  );

  it("uses at least 0.8 of the server's rate when work waits and all boxes use the first hub", () => {
    const durationMs = 10_000;
    const arrivals = runSaturated({
      size: { boxes: 64, isPlacedByHubs: true },
      random: createSeededRandom(4),
      chooseHub: () => 0,
      isFrozen: () => false,
      maxPlaceDelayMs: 10,
      durationMs,
    });
    expect(arrivals.length / (durationMs / 1_000)).toBeGreaterThanOrEqual(
      0.8 * PER_SECOND,
    );
  });

  it("uses at least 0.8 of the server's rate when each box decides for itself", () => {
    const durationMs = 10_000;
    const arrivals = runSaturated({
      size: { boxes: 6, isPlacedByHubs: false },
      random: createSeededRandom(4),
      chooseHub: (box) => box,
      isFrozen: () => false,
      maxPlaceDelayMs: 10,
      durationMs,
    });
    expect(arrivals.length / (durationMs / 1_000)).toBeGreaterThanOrEqual(
      0.8 * PER_SECOND,
    );
  });
});

describe("createColdLimits, when the box's position in the list changes", () => {
  const setUp = () => {
    const clock = createVirtualClock();
    const { limits, places } = createFleet(clock, { boxes: 1, isPlacedByHubs: true });
    const countAllowed = () => {
      let allowed = 0;
      while (recordIfAllowed(limits[0]!)) allowed += 1;
      return allowed;
    };
    return { clock, places: places[0]!, countAllowed };
  };

  it("allows nothing to a cold server before the first position has settled", () => {
    const { clock, places, countAllowed } = setUp();
    expect(countAllowed()).toBe(0);
    places.setPlace({ rank: 0, boxes: 64 });
    clock.advance((SETTLED_MS - 1) as Ms);
    expect(countAllowed()).toBe(0);
    clock.advance(1 as Ms);
    expect(countAllowed()).toBe(24);
  });

  it("uses a larger part only once all boxes have the change, and a smaller one at once", () => {
    const { clock, places, countAllowed } = setUp();
    places.setPlace({ rank: 1, boxes: 64 });
    clock.advance(SETTLED_MS as Ms);
    places.setPlace({ rank: 0, boxes: 63 });
    expect(countAllowed()).toBe(7);
    clock.advance(SETTLED_MS as Ms);
    expect(countAllowed()).toBe(24);
    clock.advance(SETTLED_MS as Ms);
    places.setPlace({ rank: 1, boxes: 64 });
    expect(countAllowed()).toBe(7);
  });

  it("allows a hub 0.7 of the bound at servers that are not known to be cold", () => {
    const clock = createVirtualClock();
    const limits = createColdLimits({
      clock,
      places: createFleetPlaces(clock),
      bound: BOUND,
      sendWithin: 400 as Ms,
      coldPeriods: { mayBeCold: () => false },
      findWarmUp: () => ({ duration: 1_000 as Ms, perSecond: PER_SECOND }),
      isPlacedByHubs: () => true,
    });
    let allowed = 0;
    while (recordIfAllowed(limits)) allowed += 1;
    expect(allowed).toBe(24);
  });

  it("limits nothing if the service needs no warm-up", () => {
    const clock = createVirtualClock();
    const limits = createColdLimits({
      clock,
      places: createFleetPlaces(clock),
      bound: BOUND,
      sendWithin: 400 as Ms,
      coldPeriods: { mayBeCold: () => true },
      findWarmUp: () => undefined,
      isPlacedByHubs: () => true,
    });
    for (let i = 0; i < 500; i += 1) expect(recordIfAllowed(limits)).toBe(true);
  });
});
