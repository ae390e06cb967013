/** Creates the parts that serve clients: the forwarder, its budget for retries, and the listener. */
import type { Clock, Ms, Random } from "@stairgauge/common";
import type { RequestGuard } from "@stairgauge/crashes";
import type { FleetPlacer } from "@stairgauge/fleet";
import {
  computeClientConnections,
  computeSlackShare,
  createClientServer,
  createForwarder,
  createRetryBudget,
  type ActiveRuns,
  type ClientServer,
  type ConfigurationView,
  type Forwarder,
  type GenerationQueue,
  type PaceObserver,
  type PlacementAdvisor,
  type PlainAdmission,
  type RunKeeper,
  type ServerExchanges,
} from "@stairgauge/forwarding";
import type { StreamOrigins } from "@stairgauge/origins";
import { createHeadCodec } from "@stairgauge/platform";
import { createUnreadLimit, type Intake, type ReadTurns } from "@stairgauge/saturation";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { createConnectionReports } from "./connectionReports.js";
import { computeSettingsLimits } from "./computeSettingsLimits.js";
import type { Signals } from "./createSignals.js";
import { observeForwarding } from "./observers.js";

export type ServingOptions = Readonly<{
  /** Divides the time for reading among connections of clients and servers. */
  turns: ReadTurns;
  getSettings: () => BoxSettings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  exchanges: ServerExchanges;
  configuration: ConfigurationView;
  placer: FleetPlacer;
  runs: ActiveRuns;
  waitQueue: GenerationQueue;
  advisor: PlacementAdvisor;
  plainAdmission: PlainAdmission;
  runKeeper: RunKeeper;
  pace: PaceObserver;
  guard: RequestGuard;
  origins: StreamOrigins;
  signals: Pick<Signals, "handle">;
  intake: Pick<Intake, "isShort" | "hasRoom" | "recordTurnedAway">;
  /** Whether the event loop has no idle time. */
  isBusy: () => boolean;
  /** Largest number of boxes that this box has known of. */
  getMaxBoxesSeen: () => number;
  /** Connections of other boxes, which share the descriptors with those of clients. */
  countPeerConnections: () => number;
}>;

export type Serving = Readonly<{ forwarder: Forwarder; clientServer: ClientServer }>;

/** Creates the parts; the listener does not listen yet. */
export const createServing = (options: ServingOptions): Serving => {
  const { getSettings, clock, random, log, metrics, configuration } = options;
  const { clients, limits } = getSettings();
  const byteLimits = computeSettingsLimits(getSettings());
  const budget = createRetryBudget(() => {
    const { ratio, slack, windowSeconds } = getSettings().retries;
    return {
      ratio,
      slack: computeSlackShare(slack, options.getMaxBoxesSeen()),
      window: (windowSeconds * 1000) as Ms,
    };
  });
  const unreadLimit = createUnreadLimit();
  const forwarder = createForwarder({
    clock,
    random,
    codec: createHeadCodec(),
    configuration,
    placer: options.placer,
    budget,
    runs: options.runs,
    waitQueue: options.waitQueue,
    advisor: options.advisor,
    plainAdmission: options.plainAdmission,
    runKeeper: options.runKeeper,
    pace: options.pace,
    guard: options.guard,
    origins: options.origins,
    dispatchSignals: options.signals.handle,
    exchanges: options.exchanges,
    isShort: options.intake.isShort,
    unreadLimit,
    observer: observeForwarding({ log, metrics, configuration }),
    retryAfter: clients.retryAfterMs as Ms,
    connectLimit: clients.connectLimitMs as Ms,
    maxHeldBytes: byteLimits.bodies,
    maxHeldAnswerBytes: byteLimits.answers,
  });
  const clientServer = createClientServer({
    clock,
    turns: options.turns,
    handle: forwarder.handle,
    intake: options.intake,
    isBusy: options.isBusy,
    unreadLimit,
    getMaxConnections: () =>
      computeClientConnections(limits.descriptors, options.countPeerConnections()),
    maxUnreadBytes: byteLimits.unread,
    ...createConnectionReports("clients", { log, metrics }),
  });
  return { forwarder, clientServer };
};
