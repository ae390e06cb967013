/** Plans the moves of runs from what this box knows of the fleet. */
import type { Clock } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { ActiveRun } from "@stairgauge/forwarding";
import {
  computePressure,
  listRunsToMove,
  planEvacuation,
  type CopyLink,
  type EvacuationPlan,
} from "@stairgauge/migration";
import { rankTargets, type LoadBook, type MoveTarget } from "@stairgauge/placement";
import type { ReportPoller } from "./pollReports.js";

/** What planning needs. */
export type MovePlannerOptions = Readonly<{
  clock: Clock;
  book: LoadBook;
  reports: Pick<ReportPoller, "ask">;
  listTargets: (source: BackendServer) => readonly MoveTarget[];
  findLink: (server: BackendServer) => CopyLink | undefined;
  /** An engine is about to be left by so many runs, of all boxes. */
  onPlanned: (server: BackendServer, runs: number) => void;
}>;

/** Makes plans. */
export type MovePlanner = Readonly<{
  /** Asks a leaving engine, and plans what its runs are to do. */
  makePlan: (server: BackendServer) => Promise<EvacuationPlan>;
  /** Targets of one run by what is known now, best first. */
  rankNow: (server: BackendServer, run: ActiveRun) => readonly ServerId[];
}>;

/** Creates the planner. */
export const createMovePlanner = (options: MovePlannerOptions): MovePlanner => {
  const { clock, book, reports, listTargets, findLink, onPlanned } = options;
  return {
    makePlan: async (server) => {
      const noticedAt = clock.monotonic();
      const report = await reports.ask(server);
      const { id } = server.entry;
      const placed = [...book.listRuns(id), ...book.listPeerRuns(id)];
      const runs = listRunsToMove(placed, report);
      onPlanned(server, runs.length);
      const targets = listTargets(server);
      return planEvacuation({ noticedAt, runs, targets, link: findLink(server) });
    },
    rankNow: (server, run) => {
      const one = {
        id: run.id,
        tokensInMemory: run.getTokens(),
        tokensLeft: run.getTokensLeft(),
      };
      const pressure = computePressure([one], findLink(server));
      return rankTargets([one], listTargets(server), pressure).get(run.id) ?? [];
    },
  };
};
