/**
 * Simulates a fleet of engines under load on a virtual clock. The placement code of the box that places for all boxes
 * decides which engine a generation is sent to, and when.
 */
import { createAdmissionQueue, createFairShares } from "@stairgauge/admission";
import {
  createSeededRandom,
  createVirtualClock,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import { computePlacingTerms, placeOrWait } from "@stairgauge/forwarding";
import {
  chooseServer,
  createLoadRegistry,
  rankTargets,
  type EngineWay,
  type PlacementDecision,
} from "@stairgauge/placement";
import { createModelEngine, type ModelEngine, type ModelRun } from "./engine.js";
import { createPaceFeed } from "./paceFeed.js";
import { sampleRun } from "./sampleRun.js";
import { createSlowFactor } from "./slowPeriods.js";
import { sumUp } from "./sumUp.js";
import type { LoadKind, LoadOutcome, LoadPattern, SimulatedRun } from "./types.js";

/** Not used, as generations are not refused; the default of the setting. */
const RETRY_AFTER_MS = 400 as Ms;
const HALL = "hall" as DataHallName;
const SERVICE = "writers" as ServiceName;
/** Added to the seed for the random source of the load, if it has its own. */
const LOAD_SEED_STEP = 1_000_003;
/** Longest pause that the routes allow; the same for all patterns. */
const PAUSE_TARGET_MS = 180;
/** Time from the notice of a reclaim until the engine's runs continue elsewhere. */
const MOVE_MS = 400;

const toServer = (id: string): BackendServer => ({
  entry: {
    id: id as ServerId,
    name: id as ServerName,
    startedAt: undefined,
    service: SERVICE,
    address: { host: "10.0.0.1", port: 80 },
    dataHall: HALL,
    slots: 24,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  },
  leaving: undefined,
});

/** How engines are chosen in a simulation. */
export type PlacementVariant = Readonly<{
  way: EngineWay;
  seed: number;
  /** Whether the engines' service times are learned and used. */
  withPace?: boolean;
}>;

/** Runs a load pattern once with the given way of choosing engines. */
export const runPattern = (
  pattern: LoadPattern,
  { way, seed, withPace = false }: PlacementVariant,
): LoadOutcome => {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const loadRandom = pattern.hasOwnLoadSeed
    ? createSeededRandom(seed + LOAD_SEED_STEP)
    : random;
  const registry = createLoadRegistry();
  const pace = withPace
    ? createPaceFeed({ clock, service: SERVICE, targetMs: PAUSE_TARGET_MS })
    : undefined;
  const waitQueue = createAdmissionQueue({
    clock,
    shares: createFairShares(),
    retryAfter: RETRY_AFTER_MS,
  });
  const engines = new Map<
    string,
    Readonly<{ engine: ModelEngine; server: BackendServer }>
  >();
  const leaving = new Set<string>();
  const runsById = new Map<string, SimulatedRun>();
  let nextEngine = 0;
  const getNow = () => clock.monotonic();

  const startEngine = () => {
    const id = `e${(nextEngine += 1)}`;
    const slowness = pattern.slowness[nextEngine % pattern.slowness.length] ?? 1;
    const engine = createModelEngine(
      id,
      {
        ...pattern.traits,
        slowness,
        getSlowFactor: createSlowFactor(pattern.slowPeriods, seed, nextEngine),
      },
      {
        onBegun: (run) => {
          registry.markBegun(id as ServerId, run.id);
          pace?.onBegun(id, run);
        },
        onEvent: pace && ((run, now) => pace.onEvent(id, run, now)),
        onEnded: (run) => {
          runsById.get(run.id)!.isEnded = true;
          registry.removeRun(id as ServerId, run.id);
          pace?.onEnded(id, run);
        },
      },
    );
    engines.set(id, { engine, server: toServer(id) });
    registry.putReport(
      id as ServerId,
      {
        startedAt: undefined,
        isLeaving: false,
        leavesIn: undefined,
        waiting: 0,
        firstWaitingTokens: 0,
        running: 0,
        memoryUsed: 0,
        memoryTotal: pattern.traits.memory,
        runs: [],
      },
      getNow(),
    );
    const runSteps = () => {
      if (!engines.has(id)) return;
      const next = engine.step(getNow());
      clock.setTimer((next - getNow()) as Ms, runSteps);
    };
    runSteps();
  };

  const listCandidates = () =>
    [...engines.values()]
      .map(({ server }) => server)
      .filter(({ entry }) => !leaving.has(entry.id));
  const choose = (run: ModelRun): PlacementDecision =>
    chooseServer({
      candidates: listCandidates(),
      demand: {
        tokens: { prompt: run.prompt, expectedOut: run.guess, isMovable: true },
      },
      registry,
      ownHall: HALL,
      way,
      expectedCompetitors: 0,
      pace: pace?.reader,
      now: getNow(),
      random,
    });
  const addAt = (id: string, placed: SimulatedRun, readTokens = 0) => {
    const { run } = placed;
    placed.engine = id;
    registry.addRun(id as ServerId, {
      id: run.id,
      promptTokens: run.prompt,
      expectedOut: run.guess,
      hasBegun: run.firstAt !== undefined,
      isMovable: true,
    });
    if (run.firstAt === undefined) pace?.onPlaced(id, run);
    engines.get(id)!.engine.add(run, readTokens);
  };
  const place = (placed: SimulatedRun, aimMs: number) =>
    placeOrWait(
      { waitQueue },
      computePlacingTerms({
        service: SERVICE,
        workspace: undefined,
        route: { tier: placed.run.tier, firstAnswerAim: aimMs as Ms },
        receivedAt: getNow(),
      }),
      {
        choose: () => choose(placed.run),
        place: (decision) => {
          if (decision.kind === "placed") addAt(decision.server.entry.id, placed);
        },
        report: () => undefined,
        fail: (error) => {
          throw error;
        },
      },
    );

  const beginRun = (kind: LoadKind) => {
    const run = sampleRun(loadRandom, kind, { id: `r${runsById.size}`, now: getNow() });
    const placed: SimulatedRun = { run, engine: undefined, isEnded: false };
    runsById.set(run.id, placed);
    place(placed, kind.aimMs);
  };
  const scheduleArrival = (kind: LoadKind) => {
    const { share, periodMs } = pattern.swing;
    const rate =
      kind.perSecond * (1 + share * Math.sin((2 * Math.PI * getNow()) / periodMs));
    const pause = (-Math.log(1 - loadRandom.nextFloat()) * 1_000) / rate;
    clock.setTimer(pause as Ms, () => {
      if (getNow() > pattern.durationMs) return;
      beginRun(kind);
      scheduleArrival(kind);
    });
  };

  const continueRunsElsewhere = (id: string) => {
    const from = engines.get(id)!.engine;
    const runs = from.list().filter((run) => run.firstAt !== undefined);
    const targets = listCandidates().map(({ entry }) => ({
      server: entry.id,
      takenTokens: registry
        .listRuns(entry.id)
        .reduce((sum, run) => sum + run.promptTokens + run.expectedOut, 0),
      totalTokens: pattern.traits.memory,
      isNear: false,
    }));
    const toMove = runs.map((run) => ({
      id: run.id,
      tokensInMemory: run.prompt + run.generated,
      tokensLeft: Math.max(0, run.guess - run.generated),
    }));
    const ranked = rankTargets(toMove, targets, 0);
    for (const run of runs) {
      const [target] = ranked.get(run.id) ?? [];
      if (target !== undefined)
        addAt(target, runsById.get(run.id)!, run.prompt + run.generated);
    }
  };
  const endEngine = (id: string) => {
    engines.delete(id);
    registry.drop(id as ServerId);
    pace?.drop(id);
    for (const placed of runsById.values())
      if (placed.engine === id && !placed.isEnded) {
        const [kind] = pattern.kinds.filter(({ name }) => name === placed.run.kind);
        place(placed, kind!.aimMs / 2);
      }
    clock.setTimer(pattern.reclaims.backMs as Ms, startEngine);
  };
  const startReclaims = () => {
    const { everyMs, share, noticeMs } = pattern.reclaims;
    const staying = listCandidates().map(({ entry }) => entry.id as string);
    const count = Math.round(pattern.engines * share);
    for (let i = 0; i < count && staying.length > 1; i += 1) {
      const [id] = staying.splice(loadRandom.nextInt(0, staying.length - 1), 1);
      leaving.add(id!);
      clock.setTimer(MOVE_MS as Ms, () => continueRunsElsewhere(id!));
      clock.setTimer(noticeMs as Ms, () => endEngine(id!));
    }
    clock.setTimer(everyMs as Ms, startReclaims);
  };

  for (let i = 0; i < pattern.engines; i += 1) startEngine();
  for (const kind of pattern.kinds) scheduleArrival(kind);
  if (pattern.reclaims.share > 0) clock.setTimer(1_500 as Ms, startReclaims);
  clock.advance((pattern.durationMs + 12_000) as Ms);
  return sumUp(pattern, [...runsById.values()]);
};
