/**
 * Creates the parts that continue runs when their engines leave: plans, standby copies and
 * moves.
 */
import { toBoottimeClock, type Clock } from "@stairgauge/common";
import type { BackendServer, ServerDirectory } from "@stairgauge/directory";
import {
  createExposureClassifier,
  createMovePlanner,
  type FleetPlacer,
  type MovePlanner,
  type MovePlannerOptions,
  type ReportPoller,
} from "@stairgauge/fleet";
import type { ActiveRun, ActiveRuns } from "@stairgauge/forwarding";
import {
  createRunMover,
  createStandbyKeeper,
  type EngineActions,
  type RunMover,
  type StandbyKeeper,
} from "@stairgauge/migration";
import type { LoadRegistry } from "@stairgauge/placement";
import type { EngineTraits } from "@stairgauge/routing";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { observeMoves } from "./observers.js";

export type MovesOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  actions: EngineActions;
  directory: ServerDirectory;
  registry: LoadRegistry;
  reports: Pick<ReportPoller, "ask">;
  placer: FleetPlacer;
  runs: ActiveRuns;
  findTraits: (server: BackendServer) => EngineTraits | undefined;
  askForFacts: MovePlannerOptions["askForFacts"];
}>;

export type Moves = Readonly<{
  planner: MovePlanner;
  standbys: StandbyKeeper;
  mover: RunMover;
}>;

/** Creates the parts; nothing moves before a server leaves. */
export const createMoves = (options: MovesOptions): Moves => {
  const { clock, log, metrics, actions, directory, registry, placer, runs } = options;
  const { listTargets, isLeaving, isHallClosed, reserve } = placer;
  const { findTraits } = options;
  const mayTake = (server: BackendServer, run: ActiveRun) =>
    placer.mayTakeRuns(server) && placer.fitsRun(server, run);
  const onDecision = observeMoves({ log, metrics });

  const planner = createMovePlanner({
    clock,
    registry,
    reports: options.reports,
    listTargets,
    findLink: findTraits,
    askForFacts: options.askForFacts,
    onPlanned: (server, count) =>
      log.writeDecision("evacuation", { server: server.entry.id, runs: count }),
  });
  const standbys = createStandbyKeeper({
    clock: toBoottimeClock(clock),
    actions,
    ...createExposureClassifier({
      directory,
      registry,
      listTargets,
      findTraits,
      mayTake,
    }),
    mayTake,
    listRuns: () =>
      runs
        .list()
        .filter(
          (run) =>
            run.hasBegun() && !run.route.isResumable && !isLeaving(run.getServer()),
        ),
    reserve,
    onDecision,
  });
  const mover = createRunMover({
    clock,
    actions,
    isLeaving,
    mayTake,
    isHallClosed,
    ...planner,
    takeStandby: standbys.take,
    dropStandby: standbys.drop,
    findServer: directory.find,
    listRunsAt: (server) => runs.listAt(server.entry.id),
    reserve,
    onDecision,
  });
  return { planner, standbys, mover };
};
