/**
 * How many requests this box may still send to a server, so that all boxes together keep a cold server's bound. What is cold is
 * known late; so a box that places generations for others keeps a part of the bound at every server, where it binds nothing.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computeColdShare, createSendRate, type FleetPart } from "@stairgauge/placement";
import type { WarmUp } from "@stairgauge/routing";
import type { ColdSpells } from "./coldSpells.js";

/** What all boxes together may send to a cold server in a second: `perSecond * overage + slack`. */
export type ColdBound = Readonly<{ overage: number; slack: number }>;

/** What limiting needs. */
export type ColdLimitsOptions = Readonly<{
  clock: Clock;
  bound: ColdBound;
  /** The longest time from a placement to its request being sent. */
  sendWithin: Ms;
  spells: Pick<ColdSpells, "mayBeCold">;
  findWarmUp: (service: ServiceName) => WarmUp | undefined;
  /** Whether boxes that place for others place the service's requests. */
  isPlacedByHubs: (service: ServiceName) => boolean;
}>;

/** This box's place in the list of all boxes. */
export type FleetPlace = Pick<FleetPart, "rank" | "boxes">;

/** The limits of one box. */
export type ColdLimits = Readonly<{
  /** The list of all boxes has been read. */
  setPlace: (place: FleetPlace) => void;
  /** Whether one more request may go to the server. */
  mayTake: (server: ServerId, service: ServiceName) => boolean;
  record: (server: ServerId) => void;
  forget: (server: ServerId) => void;
}>;

/**
 * How long a box goes on with the smaller of two parts when its place in the list changes: others may not have heard of the change,
 * and the parts of two lists together could exceed the bound. A change reaches all boxes within some 600 ms.
 */
const HELD_MS = 3_000;

/** Part of the bound that a box keeps at servers that are not known to be cold. */
const UNKNOWN_PART = 0.7;

type KeptPlace = Readonly<{ place: FleetPlace; until: number }>;

/** Creates the limits; until its place in the list is settled, a box sends nothing to a server that may be cold. */
export const createColdLimits = (options: ColdLimitsOptions): ColdLimits => {
  const { clock, spells, findWarmUp, isPlacedByHubs } = options;
  const rate = createSendRate(options.sendWithin);
  let place: FleetPlace | undefined;
  let settledAt = Infinity;
  let earlier: readonly KeptPlace[] = [];

  const computeBound = ({ perSecond }: WarmUp): number =>
    perSecond * options.bound.overage + options.bound.slack;

  const listPlaces = (): readonly FleetPlace[] => {
    const now = clock.monotonic();
    earlier = earlier.filter(({ until }) => until > now);
    return [...earlier.map((kept) => kept.place), ...(place ? [place] : [])];
  };
  const computeShare = (bound: number, server: ServerId, service: ServiceName) => {
    const isPlacedByFirst = isPlacedByHubs(service);
    if (clock.monotonic() < settledAt) return 0;
    const shares = listPlaces().map((one) =>
      computeColdShare(bound, { ...one, isPlacedByFirst }, server),
    );
    return Math.min(...shares);
  };
  const computeLimit = (warmUp: WarmUp, server: ServerId, service: ServiceName) => {
    const bound = computeBound(warmUp);
    if (spells.mayBeCold(server)) return computeShare(bound, server, service);
    return isPlacedByHubs(service) ? bound * UNKNOWN_PART : Infinity;
  };

  return {
    setPlace: (changed) => {
      const isSame = place?.rank === changed.rank && place.boxes === changed.boxes;
      if (isSame) return;
      const until = clock.monotonic() + HELD_MS;
      if (place) earlier = [...earlier, { place, until }];
      else settledAt = until;
      place = changed;
    },
    mayTake: (server, service) => {
      const warmUp = findWarmUp(service);
      if (!warmUp) return true;
      const limit = computeLimit(warmUp, server, service);
      return rate.count(server, clock.monotonic()) + 1 <= limit;
    },
    record: (server) => rate.record(server, clock.monotonic()),
    forget: rate.forget,
  };
};
