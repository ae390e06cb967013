/** What a box knows of servers that have just started, and what it may send them. */
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

/** What it is made of. */
export type ColdServersOptions = Readonly<{
  settings: Pick<BoxSettings, "bounds" | "clients">;
  clock: Clock;
  keeper: ConfigurationHolder;
  getDirectory: () => Pick<ServerDirectory, "list">;
  places: Pick<FleetPlaces, "computePart">;
  isPlacedByHubs: (service: ServiceName) => boolean;
}>;

/** The servers that may be cold, and this box's limits at them. */
export type ColdServers = Readonly<{ spells: ColdPeriods; limits: ColdLimits }>;

/** Creates both; they know of no server yet. */
export const createColdServers = (options: ColdServersOptions): ColdServers => {
  const { settings, clock, keeper, getDirectory, places, isPlacedByHubs } = options;
  const { coldOverage, coldSlack } = settings.bounds;
  const findWarmUp = (service: ServiceName) =>
    coldOverage === undefined
      ? undefined
      : keeper.getIndex()?.findService(service)?.warmUp;
  const spells = createColdPeriods({
    clock,
    findWarmUp,
    listServers: () => getDirectory().list(),
  });
  const limits = createColdLimits({
    clock,
    places,
    spells,
    findWarmUp,
    bound: { overage: coldOverage ?? 1, slack: coldSlack },
    sendWithin: (PLACE_LIMIT_MS + settings.clients.connectLimitMs) as Ms,
    isPlacedByHubs,
  });
  return { spells, limits };
};
