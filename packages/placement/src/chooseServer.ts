/** Chooses the server that takes a request. Pure, but for the randomness handed in. */
import type { DataHallName, Ms, Random } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { KeptReport, LoadBook, PlacedRun } from "./loadBook.js";
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
  demand: Demand;
  book: LoadBook;
  ownHall: DataHallName;
  now: Ms;
  random: Random;
}>;

/** Memory at an engine, and what of it is spoken for. */
export type MemoryView = Readonly<{
  taken: number;
  total: number | undefined;
  reportAge: Ms | undefined;
}>;

const sumRuns = (runs: readonly PlacedRun[]): number =>
  runs.reduce((sum, run) => sum + run.promptTokens + run.expectedOut, 0);

const sumOthers = ({ report }: KeptReport, own: ReadonlySet<string>): number =>
  report.runs.reduce((sum, run) => sum + (own.has(run.id) ? 0 : run.tokensInMemory), 0);

/** Memory taken at an engine: own runs as placed, those of other boxes as last reported. */
export const estimateMemory = (
  server: BackendServer,
  book: LoadBook,
  now: Ms,
): MemoryView => {
  const own = book.listRuns(server.entry.id);
  const kept = book.findReport(server.entry.id);
  if (!kept) return { taken: sumRuns(own), total: undefined, reportAge: undefined };
  const ids = new Set(own.map((run) => run.id));
  return {
    taken: sumRuns(own) + sumOthers(kept, ids),
    total: kept.report.memoryTotal,
    reportAge: (now - kept.at + REPORT_LAG_MS) as Ms,
  };
};

type Scored = Readonly<{
  server: BackendServer;
  load: number;
  reportAge: Ms | undefined;
}>;

const scorePlain = (server: BackendServer, inputs: ChoiceInputs): Scored => {
  const { entry } = server;
  const open = inputs.book.countOpen(entry.id);
  const way = entry.dataHall === inputs.ownHall ? 0 : OTHER_HALL_COST;
  return {
    server,
    load: (open + 1) / Math.max(1, entry.slots) + way,
    reportAge: undefined,
  };
};

/** Memory of an engine that has not reported yet, until it does; from the users' sites. */
const ASSUMED_MEMORY_TOKENS = 34_000;

const scoreEngine = (server: BackendServer, inputs: ChoiceInputs): Scored => {
  const view = estimateMemory(server, inputs.book, inputs.now);
  const total = view.total ?? ASSUMED_MEMORY_TOKENS;
  return { server, load: view.taken / total, reportAge: view.reportAge };
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
  if (!chosen) return { kind: "no_server", known: 0 };
  const reason = isEngine ? "most_free_memory" : "least_busy";
  return {
    kind: "placed",
    ...chosen,
    reason: candidates.length === 1 ? "only_one" : reason,
    candidates: candidates.length,
  };
};
