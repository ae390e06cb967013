/** Estimates the load of an engine from placements and reports. Pure. */
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { KeptReport, LoadRegistry } from "./loadRegistry.js";
import { isPlainRun } from "./plainRun.js";
import type { PlacedRun } from "./types.js";

/**
 * Age of a report's content when it arrives. The users' pages say "as of some hundred ms ago";
 * their test sites use 500 ms.
 */
const REPORT_LAG_MS = 500;

/** Estimated load of an engine, in tokens. */
export type EngineLoad = Readonly<{
  /** Memory in use or reserved. */
  taken: number;
  /** Prompts that wait to be processed. */
  backlog: number;
  total: number;
  reportAge: Ms | undefined;
  /** The runs that this box and its peers have placed there. */
  runs: readonly PlacedRun[];
}>;

/** Assumed memory of an engine that has not reported yet; from the users' sites. */
const ASSUMED_MEMORY_TOKENS = 34_000;

/**
 * Tokens that another box's run is still expected to generate: half of a mean output on the users'
 * sites.
 */
const GROWTH_OF_OTHERS_TOKENS = 400;

/**
 * Assumed prompt size of a waiting request if the report doesn't contain it: the mean on the users'
 * sites.
 */
const ASSUMED_PROMPT_TOKENS = 2_600;

const sumRuns = (runs: readonly PlacedRun[]): number =>
  runs.reduce((sum, run) => sum + run.promptTokens + run.expectedOut, 0);

const sumBacklog = (runs: readonly PlacedRun[]): number =>
  runs.reduce((sum, run) => sum + (run.hasBegun ? 0 : run.promptTokens), 0);

const sumOthers = ({ report }: KeptReport, own: ReadonlySet<string>): number =>
  report.runs.reduce(
    (sum, run) =>
      sum + (own.has(run.id) ? 0 : run.tokensInMemory + GROWTH_OF_OTHERS_TOKENS),
    0,
  );

/** Tokens of other boxes' prompts that were waiting when the report was made. */
const sumWaitingOthers = ({ report }: KeptReport, own: readonly PlacedRun[]): number => {
  const ownWaiting = own.filter((run) => !run.hasBegun).length;
  const others = Math.max(0, report.waiting - ownWaiting);
  return others * (report.firstWaitingTokens || ASSUMED_PROMPT_TOKENS);
};

/**
 * Estimates an engine's load: runs of this box and its peers as placed, other runs as last
 * reported.
 */
export const estimateEngineLoad = (
  server: BackendServer,
  book: LoadRegistry,
  now: Ms,
): EngineLoad => {
  const { id } = server.entry;
  const own = [...book.listRuns(id), ...book.listPeerRuns(id)].filter(
    (run) => !isPlainRun(run),
  );
  const kept = book.findReport(id);
  const ownTaken = sumRuns(own);
  const ownBacklog = sumBacklog(own);
  if (!kept)
    return {
      taken: ownTaken,
      backlog: ownBacklog,
      total: ASSUMED_MEMORY_TOKENS,
      reportAge: undefined,
      runs: own,
    };
  const waiting = sumWaitingOthers(kept, own);
  const ids = new Set(own.map((run) => run.id));
  return {
    taken: ownTaken + sumOthers(kept, ids) + waiting,
    backlog: ownBacklog + waiting,
    total: kept.report.memoryTotal,
    reportAge: (now - kept.at + REPORT_LAG_MS) as Ms,
    runs: own,
  };
};
