/** A placer with some servers on a virtual clock, for tests of placement. */
import {
  createSeededRandom,
  createVirtualClock,
  type DataHallName,
  type Ms,
  type RegionName,
  type ServiceName,
} from "@stairgauge/common";
import {
  createServerDirectory,
  type ServerId,
  type ServerName,
  type SoftwareVersion,
} from "@stairgauge/directory";
import { createServerLimits } from "@stairgauge/limits";
import {
  createFleetPlaces,
  createLoadRegistry,
  createCompetingRate,
  ENGINE_WAYS,
} from "@stairgauge/placement";
import { createServerBackoffs } from "@stairgauge/backoffs";
import type { WarmUp } from "@stairgauge/routing";
import { createColdLimits, createColdPeriods, createPlacer } from "./index.js";

export const SERVICE = "writers" as ServiceName;
const HALL = "h" as DataHallName;

/** Returns the id of a server by its index. */
export const toServerId = (index: number) => `e${index}` as ServerId;

/** Creates a placer with the given number of servers. */
export const createTestPlacer = (servers: number, warmUp?: WarmUp) => {
  const clock = createVirtualClock();
  const random = createSeededRandom(3);
  const directory = createServerDirectory({
    memory: 1_000 as Ms,
    onEvent: () => undefined,
  });
  for (let i = 0; i < servers; i += 1)
    directory.put(
      {
        id: toServerId(i),
        name: `e${i}` as ServerName,
        startedAt: undefined,
        service: SERVICE,
        softwareVersion: "v1" as SoftwareVersion,
        address: { host: "10.0.0.1", port: 80 + i },
        dataHall: HALL,
        slots: 24,
        isLeaving: false,
        warmUpLeft: 0 as Ms,
      },
      0 as Ms,
    );
  const registry = createLoadRegistry();
  const coldPeriods = createColdPeriods({
    clock,
    findWarmUp: () => warmUp,
    listServers: directory.list,
  });
  const places = createFleetPlaces(clock);
  const cold = createColdLimits({
    clock,
    places,
    coldPeriods,
    findWarmUp: () => warmUp,
    bound: { overage: 1.5, slack: 5 },
    sendWithin: 400 as Ms,
    isPlacedByHubs: () => true,
  });
  const backoffs = createServerBackoffs({ clock, random, onEvent: () => undefined });
  const limits = createServerLimits({
    clock,
    agingClock: clock,
    places,
    isPlacedByHubs: () => true,
    isListed: () => true,
    onOwnUpdate: () => undefined,
    onSharedUpdate: () => undefined,
    onEvent: () => undefined,
  });
  const placer = createPlacer({
    clock,
    random,
    ownHall: HALL,
    way: ENGINE_WAYS.short_queue,
    findRegion: (hall) => `region of ${hall}` as RegionName,
    directory,
    registry,
    competingRate: createCompetingRate(),
    cold,
    coldPeriods,
    backoffs,
    limits,
    getConnectionBounds: () => ({ plain: Infinity, own: Infinity, shared: Infinity }),
    hasFleetRecords: () => true,
    isAlive: () => Promise.resolve(true),
    onBroken: () => undefined,
  });
  return { clock, directory, registry, backoffs, limits, placer };
};
