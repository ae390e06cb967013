/**
 * Tracks servers that have just started, and limits what this box sends them while they are
 * cold.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import {
  createColdLimits,
  createColdPeriods,
  type ColdLimits,
  type ColdPeriods,
} from "@stairgauge/fleet";
import type { FleetPlaces } from "@stairgauge/placement";
import type { ConfigurationHolder } from "@stairgauge/routing";
import type { BoxSettings } from "@stairgauge/settings";
import { PLACE_LIMIT_MS } from "./askHubs.js";

export type ColdServersOptions = Readonly<{
  settings: Pick<BoxSettings, "bounds" | "clients">;
  clock: Clock;
  holder: ConfigurationHolder;
  getParts: () => Readonly<{ directory: Pick<ServerDirectory, "list"> }>;
  places: Pick<FleetPlaces, "computePart">;
  isPlacedByHubs: (service: ServiceName) => boolean;
}>;

/** The periods in which servers are cold, and this box's limits for them. */
export type ColdServers = Readonly<{ periods: ColdPeriods; limits: ColdLimits }>;

/** Creates both; no server is on record. */
export const createColdServers = (options: ColdServersOptions): ColdServers => {
  const { settings, clock, holder, getParts, places, isPlacedByHubs } = options;
  const { coldOverage, coldSlack } = settings.bounds;
  const findWarmUp = (service: ServiceName) =>
    coldOverage === undefined
      ? undefined
      : holder.getIndex()?.findService(service)?.warmUp;
  const periods = createColdPeriods({
    clock,
    findWarmUp,
    listServers: () => getParts().directory.list(),
  });
  const limits = createColdLimits({
    clock,
    places,
    coldPeriods: periods,
    findWarmUp,
    bound: { overage: coldOverage ?? 1, slack: coldSlack },
    sendWithin: (PLACE_LIMIT_MS + settings.clients.connectLimitMs) as Ms,
    isPlacedByHubs,
  });
  return { periods, limits };
};
