/** Plans the moves of runs from what this box knows of the fleet. */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { ActiveRun } from "@stairgauge/forwarding";
import {
  computePressure,
  listRunsToMove,
  planEvacuation,
  type CopyLink,
  type EvacuationPlan,
} from "@stairgauge/migration";
import {
  rankTargets,
  type LoadRegistry,
  type MoveTarget,
  type RunToMove,
} from "@stairgauge/placement";
import type { ReportPoller } from "./pollReports.js";

/** What an engine's runs are, and where they may go. */
export type MoveFacts = Readonly<{
  runs: readonly RunToMove[];
  targets: readonly MoveTarget[];
}>;

/** What planning needs. */
export type MovePlannerOptions = Readonly<{
  clock: Clock;
  book: LoadRegistry;
  reports: Pick<ReportPoller, "ask">;
  listTargets: (source: BackendServer) => readonly MoveTarget[];
  findLink: (server: BackendServer) => CopyLink | undefined;
  /** What a box that sees more than this one says; undefined where there is none, or it does not answer. */
  askForFacts: (
    server: BackendServer,
    isFresh: boolean,
  ) => Promise<MoveFacts | undefined>;
  /** An engine is about to be left by so many runs, of all boxes. */
  onPlanned: (server: BackendServer, runs: number) => void;
}>;

/** Makes plans. */
export type MovePlanner = Readonly<{
  /** What this box knows of a leaving engine: asked for once, and the same for all boxes that ask for it. */
  findFacts: (server: BackendServer, isFresh: boolean) => Promise<MoveFacts>;
  /** Plans what the runs of a leaving engine are to do. */
  makePlan: (server: BackendServer) => Promise<EvacuationPlan>;
  /** Targets of one run by what is known now, best first. */
  rankNow: (server: BackendServer, run: ActiveRun) => Promise<readonly ServerId[]>;
}>;

/** How long what was known when an engine began to leave serves those who ask; it is gone by then. */
const FACTS_LIFE_MS = 3_000 as Ms;

/** Creates the planner. */
export const createMovePlanner = (options: MovePlannerOptions): MovePlanner => {
  const { clock, book, reports, listTargets, findLink, onPlanned } = options;
  const kept = new Map<ServerId, Promise<MoveFacts>>();

  const collectFacts = async (server: BackendServer): Promise<MoveFacts> => {
    const { id } = server.entry;
    const report = await reports.ask(server);
    const placed = [...book.listRuns(id), ...book.listPeerRuns(id)];
    const runs = listRunsToMove(placed, report);
    onPlanned(server, runs.length);
    return { runs, targets: listTargets(server) };
  };

  const findKept = (server: BackendServer): Promise<MoveFacts> => {
    const { id } = server.entry;
    const known = kept.get(id);
    if (known) return known;
    const facts = collectFacts(server);
    kept.set(id, facts);
    clock.setTimer(FACTS_LIFE_MS, () => kept.delete(id));
    return facts;
  };

  const findFacts = async (server: BackendServer, isFresh: boolean) => {
    const facts = await findKept(server);
    return isFresh ? { ...facts, targets: listTargets(server) } : facts;
  };

  return {
    findFacts,
    makePlan: async (server) => {
      const noticedAt = clock.monotonic();
      const told = await options.askForFacts(server, false);
      const { runs, targets } = told ?? (await findFacts(server, false));
      return planEvacuation({ noticedAt, runs, targets, link: findLink(server) });
    },
    rankNow: async (server, run) => {
      const one = {
        id: run.id,
        tokensInMemory: run.getTokens(),
        tokensLeft: run.getTokensLeft(),
      };
      const pressure = computePressure([one], findLink(server));
      const told = await options.askForFacts(server, true);
      const targets = told?.targets ?? listTargets(server);
      return rankTargets([one], targets, pressure).get(run.id) ?? [];
    },
  };
};
