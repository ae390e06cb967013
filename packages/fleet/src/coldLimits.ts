/**
 * Limits how many requests this box may send to a server, so that all boxes together keep the bound
 * of a cold server.
 *
 * Boxes learn late that a server is cold. So a box that places generations for others keeps to a
 * part of the bound at every server, where this restricts nothing in practice.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createSendRate, type FleetPlaces } from "@stairgauge/placement";
import type { WarmUp } from "@stairgauge/routing";
import type { ColdPeriods } from "./coldPeriods.js";

/**
 * What all boxes together may send to a cold server in one second: `perSecond * overage + slack`.
 */
export type ColdBound = Readonly<{ overage: number; slack: number }>;

/** Dependencies of the cold limits. */
export type ColdLimitsOptions = Readonly<{
  clock: Clock;
  bound: ColdBound;
  /** The longest time from a placement to the sending of its request. */
  sendWithin: Ms;
  places: Pick<FleetPlaces, "computePart">;
  coldPeriods: Pick<ColdPeriods, "mayBeCold">;
  findWarmUp: (service: ServiceName) => WarmUp | undefined;
  /** Whether hubs place the service's requests for the other boxes. */
  isPlacedByHubs: (service: ServiceName) => boolean;
}>;

/** The limits of one box for servers that may be cold. */
export type ColdLimits = Readonly<{
  /** Whether one more request may be sent to the server. */
  mayTake: (server: ServerId, service: ServiceName) => boolean;
  record: (server: ServerId) => void;
  forget: (server: ServerId) => void;
}>;

/** Part of the bound that a hub keeps to at servers that are not known to be cold. */
const PART_IF_NOT_KNOWN_COLD = 0.7;

/**
 * Creates the limits. Until its position in the list of boxes has settled, a box sends nothing to a
 * server that may be cold.
 */
export const createColdLimits = (options: ColdLimitsOptions): ColdLimits => {
  const { clock, places, coldPeriods, findWarmUp, isPlacedByHubs } = options;
  const rate = createSendRate(options.sendWithin);

  const computeBound = ({ perSecond }: WarmUp): number =>
    perSecond * options.bound.overage + options.bound.slack;

  const computeLimit = (warmUp: WarmUp, server: ServerId, service: ServiceName) => {
    const bound = computeBound(warmUp);
    const isPlacedByFirst = isPlacedByHubs(service);
    if (coldPeriods.mayBeCold(server))
      return places.computePart({ whole: bound, server, isPlacedByFirst });
    return isPlacedByFirst ? bound * PART_IF_NOT_KNOWN_COLD : Infinity;
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
