/**
 * Creates the parts that decide where requests go, and which of them wait: the placer, the admission of
 * plain requests while capacity is scarce, the queue, and the answers to other boxes.
 */
import {
  createAdmissionQueue,
  createFairShares,
  type AdmissionQueue,
} from "@stairgauge/admission";
import type { ServerBackoffs } from "@stairgauge/backoffs";
import type {
  BoxName,
  Clock,
  DataHallName,
  Ms,
  Random,
  RegionName,
} from "@stairgauge/common";
import type { ServerDirectory, ServerId } from "@stairgauge/directory";
import {
  createPlaceHub,
  createPlacer,
  type FleetPlacer,
  type PlaceHub,
  type ReportPoller,
} from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import {
  computeConnectionBounds,
  ENGINE_WAYS,
  type CompetingRate,
  type FleetPlaces,
  type LoadRegistry,
} from "@stairgauge/placement";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { createCapacity, type Capacity } from "./createCapacity.js";
import type { ColdServers } from "./createColdServers.js";
import type { Knowledge } from "./createKnowledge.js";
import type { Pace } from "./createPace.js";
import type { Paths } from "./createPaths.js";
import type { Peers } from "./createPeers.js";
import { observeCapacity } from "./observeCapacity.js";
import { observeAdmission } from "./observers.js";

export type PlacingOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  own: BoxName;
  dataHall: DataHallName;
  knowledge: Pick<Knowledge, "findService" | "getGapTarget" | "isEngineService">;
  registry: LoadRegistry;
  competing: CompetingRate;
  places: FleetPlaces;
  peers: Pick<Peers, "links" | "reporter" | "forward">;
  directory: ServerDirectory;
  cold: ColdServers;
  limits: ServerLimits;
  backoffs: ServerBackoffs;
  pace: Pick<Pace, "registry">;
  paths: Readonly<{ paths: Pick<Paths["paths"], "isLost"> }>;
  reports: Pick<ReportPoller, "ask">;
  /** Largest number of boxes that this box has known of. */
  getMaxBoxesSeen: () => number;
  /** A box that places for others gave no answer in time, and is not asked for a while. */
  onPassedOver: (box: BoxName) => void;
}>;

/** The parts. */
export type Placing = Readonly<{
  placer: FleetPlacer;
  capacity: Capacity;
  placeHub: PlaceHub;
  waitQueue: AdmissionQueue;
}>;

/** Creates the parts; no request waits, and all services are open. */
export const createPlacing = (options: PlacingOptions): Placing => {
  const { settings, clock, random, log, metrics, own, directory, registry } = options;
  const { knowledge, cold, limits, backoffs, pace, peers, places, reports } = options;
  const { reporter, links } = peers;
  const retryAfter = settings.clients.retryAfterMs as Ms;

  const waitQueue = createAdmissionQueue({
    clock,
    shares: createFairShares(),
    retryAfter,
    onEvent: observeAdmission({ log, metrics }),
  });
  /** A lost path of this box is no fault of the server. */
  const reportBroken = (server: ServerId) => {
    if (options.paths.paths.isLost(server)) return;
    reporter.reportBroken(server);
    log.writeDecision("server_broke_off", { server });
  };
  const placer = createPlacer({
    clock,
    random,
    ownHall: options.dataHall,
    way: ENGINE_WAYS[settings.policy.engineChoice],
    findRegion: (hall) => settings.regions[hall] as RegionName | undefined,
    directory,
    registry,
    competingRate: options.competing,
    cold: cold.limits,
    coldPeriods: cold.periods,
    limits,
    backoffs,
    pace: pace.registry,
    getGapTarget: knowledge.getGapTarget,
    isContended: (service) => capacity.isContended(service),
    getConnectionBounds: (service) =>
      computeConnectionBounds(
        knowledge.findService(service)?.maxConnections,
        options.getMaxBoxesSeen(),
      ),
    hasFleetRecords: (service) =>
      capacity.plainAdmission.findAdmitting(service) !== "none",
    isAlive: async (server) => (await reports.ask(server)) !== undefined,
    onBroken: reportBroken,
    onUnreachable: (report) => {
      metrics.unreachable.inc({ others: report.runsOfOthers > 0 ? "there" : "none" });
      log.writeDecision("server_unreachable", report);
    },
  });
  const capacity: Capacity = createCapacity({
    clock,
    own,
    links,
    registry,
    places,
    directory,
    placer,
    queue: waitQueue,
    isEngineService: knowledge.isEngineService,
    recordContended: reporter.recordContended,
    forward: peers.forward,
    retryAfter,
    onEjected: options.onPassedOver,
    onEvent: observeCapacity({
      log,
      metrics,
      countContended: () => capacity.listSigns().signs.length,
    }),
  });
  const placeHub = createPlaceHub({
    clock,
    registry,
    placer,
    waitQueue,
    plain: capacity.plainHub,
  });
  return { placer, capacity, placeHub, waitQueue };
};
