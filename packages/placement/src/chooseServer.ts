/** Chooses the server that takes a request. Pure, but for the randomness handed in. */
import type { DataHallName, Ms, Random } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { EngineWay } from "./engineWays.js";
import type { KeptReport, LoadRegistry, PlacedRun } from "./loadRegistry.js";
import type { Demand, PlacementDecision } from "./types.js";

/**
 * How old a report's content is when it arrives. From the users' pages: "as of some hundred ms ago";
 * their sites play 500 ms.
 */
const REPORT_LAG_MS = 500;

/** Share of a plain server's slots that a way to another data hall is worth: about 3 of 20 ms. */
const OTHER_HALL_COST = 0.15;

/** What a choice is made from. */
export type ChoiceInputs = Readonly<{
  candidates: readonly BackendServer[];
  demand: Pick<Demand, "tokens">;
  book: LoadRegistry;
  ownHall: DataHallName;
  way: EngineWay;
  /** Placements of other boxes that this one does not see yet, as expected. */
  rivals: number;
  now: Ms;
  random: Random;
}>;

/** What an engine has taken on, in tokens, as far as this box can tell. */
export type EngineLoad = Readonly<{
  /** Memory taken or spoken for. */
  taken: number;
  /** Prompts that wait to be read. */
  backlog: number;
  total: number;
  reportAge: Ms | undefined;
}>;

/** Memory of an engine that has not reported yet, until it does; from the users' sites. */
const ASSUMED_MEMORY_TOKENS = 34_000;

/** Tokens that another box's run is expected to make yet; from the users' sites, half of a mean output. */
const GROWTH_OF_OTHERS_TOKENS = 400;

/** Prompt of a waiting request whose size the report does not tell; mean of the users' sites. */
const ASSUMED_PROMPT_TOKENS = 2_600;

/** Loads closer together than this are as good as equal, given how old reports are. */
const MIN_JITTER = 0.06;

/** A draw lies half its range above the least in the mean: the range is twice the load that is to be made up for. */
const RIVAL_SPREAD = 2;

/**
 * A rival that is less likely than not is not reckoned with: at 11 placements a second (0.3 rivals) spreading cost up to
 * 0.015 of worth, at 40 a second (1.2) it took the slowest of 100 first answers from 2.3 s to 1.5 s.
 */
const IGNORED_RIVALS = 0.5;

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

/** Prompts of other boxes that waited when the report was made. */
const sumWaitingOthers = ({ report }: KeptReport, own: readonly PlacedRun[]): number => {
  const ownWaiting = own.filter((run) => !run.hasBegun).length;
  const others = Math.max(0, report.waiting - ownWaiting);
  return others * (report.firstWaitingTokens || ASSUMED_PROMPT_TOKENS);
};

/** Works an engine's load out: runs of this box and of its peers as placed, other runs as last reported. */
export const estimateEngineLoad = (
  server: BackendServer,
  book: LoadRegistry,
  now: Ms,
): EngineLoad => {
  const { id } = server.entry;
  const own = [...book.listRuns(id), ...book.listPeerRuns(id)];
  const kept = book.findReport(id);
  const ownTaken = sumRuns(own);
  const ownBacklog = sumBacklog(own);
  if (!kept)
    return {
      taken: ownTaken,
      backlog: ownBacklog,
      total: ASSUMED_MEMORY_TOKENS,
      reportAge: undefined,
    };
  const waiting = sumWaitingOthers(kept, own);
  const ids = new Set(own.map((run) => run.id));
  return {
    taken: ownTaken + sumOthers(kept, ids) + waiting,
    backlog: ownBacklog + waiting,
    total: kept.report.memoryTotal,
    reportAge: (now - kept.at + REPORT_LAG_MS) as Ms,
  };
};

type Scored = Readonly<{
  server: BackendServer;
  load: number;
  memoryAfter: number | undefined;
  reportAge: Ms | undefined;
}>;

const scorePlain = (server: BackendServer, inputs: ChoiceInputs): Scored => {
  const { entry } = server;
  const open = inputs.book.countOpen(entry.id);
  const way = entry.dataHall === inputs.ownHall ? 0 : OTHER_HALL_COST;
  return {
    server,
    load: (open + 1) / Math.max(1, entry.slots) + way,
    memoryAfter: undefined,
    reportAge: undefined,
  };
};

const scoreEngine = (server: BackendServer, inputs: ChoiceInputs): Scored => {
  const { book, now, random, demand, rivals, way } = inputs;
  const { backlogWeight } = way;
  const prompt = demand.tokens?.prompt ?? 0;
  const needed = prompt + (demand.tokens?.expectedOut ?? 0);
  const { taken, backlog, total, reportAge } = estimateEngineLoad(server, book, now);
  // Boxes that see the same engine as the emptiest would all choose it. What each of them adds, times how many may be choosing
  // now, is the difference of load by which none can tell which engine will be emptier.
  const added = (needed + backlogWeight * prompt) / total;
  const expected = Math.max(0, rivals - IGNORED_RIVALS);
  const jitter =
    random.nextFloat() * Math.max(MIN_JITTER, RIVAL_SPREAD * expected * added);
  return {
    server,
    load: (taken + backlogWeight * backlog) / total + jitter,
    memoryAfter: (taken + needed) / total,
    reportAge,
  };
};

const pickLeast = (scored: readonly Scored[], random: Random): Scored | undefined => {
  const least = Math.min(...scored.map(({ load }) => load));
  const best = scored.filter(({ load }) => load === least);
  return best[random.nextInt(0, Math.max(0, best.length - 1))];
};

/** Chooses among the candidates; ties are broken at random, so that boxes don't agree by accident. */
export const chooseServer = (inputs: ChoiceInputs): PlacementDecision => {
  const { candidates, demand, random } = inputs;
  const isEngine = demand.tokens !== undefined;
  const scored = candidates.map((server) =>
    isEngine ? scoreEngine(server, inputs) : scorePlain(server, inputs),
  );
  const chosen = pickLeast(scored, random);
  if (!chosen) return { kind: "no_server", reason: "none_left", known: 0 };
  const reason = isEngine ? "most_free_memory" : "least_busy";
  return {
    kind: "placed",
    ...chosen,
    reason: candidates.length === 1 ? "only_one" : reason,
    candidates: candidates.length,
  };
};
