/** Which runs of this box would not get away from their engine in time, and where a copy of one may lie. */
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
 * Load of an engine up to which it may hold copies, with the copy itself: on the users' sites engines are half full in
 * the mean, and from about 0.85 on they refuse runs that have to move.
 */
const STANDBY_LOAD = 0.65;

/** Life of a copy whose service's configuration is not known. */
const ASSUMED_COPY_LIFE_MS = 5_000 as Ms;

/** What judging needs. */
export type ExposureJudgeOptions = Readonly<{
  directory: ServerDirectory;
  book: LoadRegistry;
  listTargets: (source: BackendServer) => readonly MoveTarget[];
  findTraits: (server: BackendServer) => EngineTraits | undefined;
  /** Whether a server may be sent the run, were it new. */
  mayTake: (server: BackendServer, run: ActiveRun) => boolean;
}>;

/** Judges runs by what this box and its peers have placed. */
export type ExposureJudge = Readonly<{
  isExposed: (run: ActiveRun) => boolean;
  findTarget: (run: ActiveRun) => BackendServer | undefined;
  getCopyLife: (run: ActiveRun) => Ms;
}>;

const toRunToMove = (run: ActiveRun): RunToMove => ({
  id: run.id,
  tokensInMemory: run.getTokens(),
  tokensLeft: run.getTokensLeft(),
});

/** Creates the judge. */
export const createExposureJudge = (options: ExposureJudgeOptions): ExposureJudge => {
  const { directory, book, listTargets, findTraits } = options;
  const listPlaced = (server: ServerId) => [
    ...book.listRuns(server),
    ...book.listPeerRuns(server),
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
      const report = book.findReport(server.entry.id)?.report;
      const runs = listRunsToMove(listPlaced(server.entry.id), report);
      const bare = runs.filter(({ id }) => id === run.id || !copied.has(id));
      return listExposed({ runs: bare, link: traits }).includes(run.id);
    },
    findTarget: (run) => {
      const one = toRunToMove(run);
      const needed = one.tokensInMemory + one.tokensLeft;
      const isOpen = (id: ServerId) => {
        const server = directory.find(id);
        return server !== undefined && options.mayTake(server, run);
      };
      const roomy = listTargets(run.getServer()).filter(
        ({ server, takenTokens, totalTokens }) =>
          (takenTokens + needed) / totalTokens <= STANDBY_LOAD && isOpen(server),
      );
      const [best] = rankTargets([one], roomy, 0).get(run.id) ?? [];
      return best === undefined ? undefined : directory.find(best);
    },
    getCopyLife: (run) => findTraits(run.getServer())?.copyLife ?? ASSUMED_COPY_LIFE_MS,
  };
};
