/** A real placer of one box with the servers of one plain service, for tests of the admission. */
import {
  createSeededRandom,
  type DataHallName,
  type Ms,
  type RegionName,
  type ServiceName,
  type VirtualClock,
} from "@stairgauge/common";
import {
  createServerDirectory,
  type ServerId,
  type ServerName,
} from "@stairgauge/directory";
import { createPlacer } from "@stairgauge/fleet";
import {
  createCompetingRate,
  ENGINE_WAYS,
  type LoadRegistry,
  computeConnectionBounds,
} from "@stairgauge/placement";
import type { FleetOptions } from "./capacityServers.testkit.js";

export const SERVICE = "search" as ServiceName;
const HALL = "h" as DataHallName;

/** Creates the placer and its list of servers. */
export const createBoxPlacer = (
  clock: VirtualClock,
  index: number,
  { boxes, slots, connections }: FleetOptions,
  registry: LoadRegistry,
  isContended: () => boolean,
) => {
  const directory = createServerDirectory({
    memory: 1_000 as Ms,
    onEvent: () => undefined,
  });
  slots.forEach((count, i) =>
    directory.put(
      {
        id: `s${i}` as ServerId,
        name: `s${i}` as ServerName,
        startedAt: undefined,
        service: SERVICE,
        address: { host: "10.0.0.1", port: 80 + i },
        dataHall: HALL,
        slots: count,
        isLeaving: false,
        warmUpLeft: 0 as Ms,
      },
      0 as Ms,
    ),
  );
  const placer = createPlacer({
    clock,
    random: createSeededRandom(index + 1),
    ownHall: HALL,
    way: ENGINE_WAYS.short_queue,
    findRegion: () => "r" as RegionName,
    directory,
    registry,
    competingRate: createCompetingRate(),
    cold: { mayTake: () => true, record: () => undefined },
    coldPeriods: { mayBeCold: () => false, onUnreachable: () => undefined },
    limits: {
      findAllowance: () => undefined,
      isLimited: () => false,
      recordArrival: () => undefined,
      recordSent: () => undefined,
      filter: (_, open) => ({ open, retryAfter: undefined }),
    },
    backoffs: {
      computeRetryAfter: () => 0 as Ms,
      isBackingOff: () => false,
      mayReceive: () => true,
      takeDuringBackoff: () => true,
    },
    getConnectionBounds: () =>
      connections === undefined
        ? { plain: Infinity, own: Infinity, shared: Infinity }
        : computeConnectionBounds(connections, boxes),
    hasFleetRecords: () => true,
    isAlive: () => Promise.resolve(true),
    onBroken: () => undefined,
    isContended,
  });
  return { directory, placer };
};
