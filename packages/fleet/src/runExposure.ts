/**
 * Finds the runs of this box that could not be moved from their engine in time, and targets for
 * standby copies of them.
 */
import type { Ms } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { ActiveRun } from "@stairgauge/forwarding";
import { listExposed, listRunsToMove } from "@stairgauge/migration";
import {
  findCopiedRun,
  rankTargets,
  type LoadRegistry,
  type MoveTarget,
  type RunToMove,
} from "@stairgauge/placement";
import type { EngineTraits } from "@stairgauge/routing";

/**
 * Load up to which an engine may hold copies, including the new copy. On the users' sites engines
 * are half full on average, and from about 0.85 on they refuse runs that have to be moved.
 */
const STANDBY_LOAD = 0.65;

/** Assumed lifetime of a copy if the service's configuration is not known. */
const ASSUMED_COPY_LIFE_MS = 5_000 as Ms;

/** Dependencies of the exposure check. */
export type ExposureClassifierOptions = Readonly<{
  directory: ServerDirectory;
  registry: LoadRegistry;
  listTargets: (source: BackendServer) => readonly MoveTarget[];
  findTraits: (server: BackendServer) => EngineTraits | undefined;
  /** Whether a server may get the run if it were a new one. */
  mayTake: (server: BackendServer, run: ActiveRun) => boolean;
}>;

/** Checks runs by the placements of this box and its peers. */
export type ExposureClassifier = Readonly<{
  isExposed: (run: ActiveRun) => boolean;
  findTarget: (run: ActiveRun) => BackendServer | undefined;
  getCopyLife: (run: ActiveRun) => Ms;
}>;

const toRunToMove = (run: ActiveRun): RunToMove => ({
  id: run.id,
  tokensInMemory: run.getTokens(),
  tokensLeft: run.getTokensLeft(),
});

export const createExposureClassifier = (
  options: ExposureClassifierOptions,
): ExposureClassifier => {
  const { directory, registry, listTargets, findTraits } = options;
  const listPlaced = (server: ServerId) => [
    ...registry.listRuns(server),
    ...registry.listPeerRuns(server),
  ];
  const listCopied = (): ReadonlySet<string> =>
    new Set(
      directory
        .list()
        .flatMap(({ entry }) => listPlaced(entry.id))
        .map(({ id }) => findCopiedRun(id))
        .filter((id) => id !== undefined),
    );

  return {
    isExposed: (run) => {
      const server = run.getServer();
      const traits = findTraits(server);
      if (!traits?.canMove) return false;
      const copied = listCopied();
      const report = registry.findReport(server.entry.id)?.report;
      const runs = listRunsToMove(listPlaced(server.entry.id), report);
      const runsWithoutCopy = runs.filter(({ id }) => id === run.id || !copied.has(id));
      return listExposed({ runs: runsWithoutCopy, link: traits }).includes(run.id);
    },
    findTarget: (run) => {
      const one = toRunToMove(run);
      const needed = one.tokensInMemory + one.tokensLeft;
      const isOpen = (id: ServerId) => {
        const server = directory.find(id);
        return server !== undefined && options.mayTake(server, run);
      };
      const targetsWithCapacity = listTargets(run.getServer()).filter(
        ({ server, takenTokens, totalTokens }) =>
          (takenTokens + needed) / totalTokens <= STANDBY_LOAD && isOpen(server),
      );
      const [best] = rankTargets([one], targetsWithCapacity, 0).get(run.id) ?? [];
      return best === undefined ? undefined : directory.find(best);
    },
    getCopyLife: (run) => findTraits(run.getServer())?.copyLife ?? ASSUMED_COPY_LIFE_MS,
  };
};
