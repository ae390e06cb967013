/** Plans the moves of runs away from leaving engines, from the load on record at this box. */
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

/** The runs of an engine and their possible targets. */
export type MoveFacts = Readonly<{
  runs: readonly RunToMove[];
  targets: readonly MoveTarget[];
}>;

/** Dependencies of the planner. */
export type MovePlannerOptions = Readonly<{
  clock: Clock;
  registry: LoadRegistry;
  reports: Pick<ReportPoller, "ask">;
  listTargets: (source: BackendServer) => readonly MoveTarget[];
  findLink: (server: BackendServer) => CopyLink | undefined;
  /**
   * Asks a hub, which has the placements of all boxes, for the facts; undefined if there is no hub
   * or it doesn't answer.
   */
  askForFacts: (
    server: BackendServer,
    isFresh: boolean,
  ) => Promise<MoveFacts | undefined>;
  /** Called with the number of runs, of all boxes, that are about to be moved from an engine. */
  onPlanned: (server: BackendServer, runs: number) => void;
}>;

/** Plans moves. */
export type MovePlanner = Readonly<{
  /**
   * Returns the facts that this box has on a leaving engine. They are collected once and are the
   * same for all boxes that ask; if `isFresh`, the targets are listed anew.
   */
  findFacts: (server: BackendServer, isFresh: boolean) => Promise<MoveFacts>;
  /** Plans the moves of all runs of a leaving engine. */
  makePlan: (server: BackendServer) => Promise<EvacuationPlan>;
  /** Ranks the targets of one run by their present load, best first. */
  rankNow: (server: BackendServer, run: ActiveRun) => Promise<readonly ServerId[]>;
}>;

/**
 * How long the facts collected when an engine began to leave are kept. The engine is gone by then.
 */
const FACTS_LIFE_MS = 3_000 as Ms;

export const createMovePlanner = (options: MovePlannerOptions): MovePlanner => {
  const { clock, registry, reports, listTargets, findLink, onPlanned } = options;
  const factsByServer = new Map<ServerId, Promise<MoveFacts>>();

  const collectFacts = async (server: BackendServer): Promise<MoveFacts> => {
    const { id } = server.entry;
    const report = await reports.ask(server);
    const placed = [...registry.listRuns(id), ...registry.listPeerRuns(id)];
    const runs = listRunsToMove(placed, report);
    onPlanned(server, runs.length);
    return { runs, targets: listTargets(server) };
  };

  const findOrCollectFacts = (server: BackendServer): Promise<MoveFacts> => {
    const { id } = server.entry;
    const existing = factsByServer.get(id);
    if (existing) return existing;
    const facts = collectFacts(server);
    factsByServer.set(id, facts);
    clock.setTimer(FACTS_LIFE_MS, () => factsByServer.delete(id));
    return facts;
  };

  const findFacts = async (server: BackendServer, isFresh: boolean) => {
    const facts = await findOrCollectFacts(server);
    return isFresh ? { ...facts, targets: listTargets(server) } : facts;
  };

  return {
    findFacts,
    makePlan: async (server) => {
      const noticedAt = clock.monotonic();
      const hubFacts = await options.askForFacts(server, false);
      const { runs, targets } = hubFacts ?? (await findFacts(server, false));
      return planEvacuation({ noticedAt, runs, targets, link: findLink(server) });
    },
    rankNow: async (server, run) => {
      const one = {
        id: run.id,
        tokensInMemory: run.getTokens(),
        tokensLeft: run.getTokensLeft(),
      };
      const pressure = computePressure([one], findLink(server));
      const hubFacts = await options.askForFacts(server, true);
      const targets = hubFacts?.targets ?? listTargets(server);
      return rankTargets([one], targets, pressure).get(run.id) ?? [];
    },
  };
};
