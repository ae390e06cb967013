/**
 * How many requests this box may still send to a server, so that all boxes together keep a cold server's bound. What is cold is
 * known late; so a box that places generations for others keeps a part of the bound at every server, where it binds nothing.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createSendRate, type FleetPlaces } from "@stairgauge/placement";
import type { WarmUp } from "@stairgauge/routing";
import type { ColdPeriods } from "./coldPeriods.js";

/** What all boxes together may send to a cold server in a second: `perSecond * overage + slack`. */
export type ColdBound = Readonly<{ overage: number; slack: number }>;

/** What limiting needs. */
export type ColdLimitsOptions = Readonly<{
  clock: Clock;
  bound: ColdBound;
  /** The longest time from a placement to its request being sent. */
  sendWithin: Ms;
  places: Pick<FleetPlaces, "computePart">;
  spells: Pick<ColdPeriods, "mayBeCold">;
  findWarmUp: (service: ServiceName) => WarmUp | undefined;
  /** Whether boxes that place for others place the service's requests. */
  isPlacedByHubs: (service: ServiceName) => boolean;
}>;

/** The limits of one box. */
export type ColdLimits = Readonly<{
  /** Whether one more request may go to the server. */
  mayTake: (server: ServerId, service: ServiceName) => boolean;
  record: (server: ServerId) => void;
  forget: (server: ServerId) => void;
}>;

/** Part of the bound that a box keeps at servers that are not known to be cold. */
const UNKNOWN_PART = 0.7;

/** Creates the limits; until its place in the list is settled, a box sends nothing to a server that may be cold. */
export const createColdLimits = (options: ColdLimitsOptions): ColdLimits => {
  const { clock, places, spells, findWarmUp, isPlacedByHubs } = options;
  const rate = createSendRate(options.sendWithin);

  const computeBound = ({ perSecond }: WarmUp): number =>
    perSecond * options.bound.overage + options.bound.slack;

  const computeLimit = (warmUp: WarmUp, server: ServerId, service: ServiceName) => {
    const bound = computeBound(warmUp);
    const isPlacedByFirst = isPlacedByHubs(service);
    if (spells.mayBeCold(server))
      return places.computePart({ whole: bound, server, isPlacedByFirst });
    return isPlacedByFirst ? bound * UNKNOWN_PART : Infinity;
  };

  return {
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
