/** A fleet of crowded engines before the decisions of the box that places for all: which engine, and when. On a virtual clock. */
import {
  createSeededRandom,
  createVirtualClock,
  type DataHallName,
  type Ms,
  type Random,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import { createWaitingRoom, placeWithRoom } from "@stairgauge/forwarding";
import {
  chooseServer,
  createLoadBook,
  rankTargets,
  type EngineWay,
  type PlacementDecision,
} from "@stairgauge/placement";
import {
  createModelEngine,
  type EngineTraits,
  type ModelEngine,
  type ModelRun,
} from "./engine.js";

/** One kind of generation. */
export type LoadKind = Readonly<{
  name: string;
  perSecond: number;
  prompt: Readonly<{ mean: number; spread: number; most: number }>;
  out: Readonly<{ mean: number; spread: number; most: number }>;
  /** Spread of the client's guess at the tokens that come out. */
  guessSpread: number;
  /** Ranks, 0 first: a workspace's own goes before that of the route, so that each kind has all of them. */
  tiers: readonly number[];
  aimMs: number;
  mostPauseMs: number;
  worth: number;
  worthLate: number;
  /** Another engine may begin it anew. */
  isResumable: boolean;
}>;

/** A pattern of load. */
export type LoadPattern = Readonly<{
  name: string;
  durationMs: number;
  engines: number;
  traits: Omit<EngineTraits, "slowness">;
  /** Factors on the time of each step, dealt out in turn. */
  slowness: readonly number[];
  kinds: readonly LoadKind[];
  /** How far the traffic swings around its mean, and over which time. */
  swing: Readonly<{ share: number; periodMs: number }>;
  /** Engines that are taken away at short notice, and come back later. */
  reclaims: Readonly<{
    everyMs: number;
    share: number;
    noticeMs: number;
    backMs: number;
  }>;
}>;

/** What became of the generations of one kind. */
export type KindOutcome = Readonly<{
  name: string;
  asked: number;
  inTime: number;
  /** Worth earned of the worth asked for. */
  share: number;
  firstP50: number;
  firstP99: number;
  preemptions: number;
}>;

/** What became of all. */
export type LoadOutcome = Readonly<{
  share: number;
  /** The worst two windows of two seconds. */
  worstShare: number;
  kinds: readonly KindOutcome[];
}>;

const HALL = "hall" as DataHallName;
const SERVICE = "writers" as ServiceName;
const MOVE_MS = 400;
const WINDOW_MS = 2_000;
const OUT_WEIGHT = 10;
const MOST_WORTH = 4;

const sampleNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.nextFloat())) *
  Math.cos(2 * Math.PI * random.nextFloat());

const sampleLogNormal = (random: Random, mean: number, spread: number): number =>
  mean * Math.exp(spread * sampleNormal(random) - (spread * spread) / 2);

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

type Placed = { readonly run: ModelRun; engine: string | undefined; isEnded: boolean };

/** Plays a pattern once, by a way of choosing engines. */
export const runPattern = (
  pattern: LoadPattern,
  way: EngineWay,
  seed: number,
): LoadOutcome => {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const book = createLoadBook();
  const waitingRoom = createWaitingRoom(clock);
  const engines = new Map<
    string,
    Readonly<{ engine: ModelEngine; server: BackendServer }>
  >();
  const leaving = new Set<string>();
  const all = new Map<string, Placed>();
  let nextEngine = 0;
  const getNow = () => clock.monotonic();

  const startEngine = () => {
    const id = `e${(nextEngine += 1)}`;
    const slowness = pattern.slowness[nextEngine % pattern.slowness.length] ?? 1;
    const engine = createModelEngine(
      id,
      { ...pattern.traits, slowness },
      {
        onBegun: (run) => book.markBegun(id as ServerId, run.id),
        onEnded: (run) => {
          all.get(run.id)!.isEnded = true;
          book.removeRun(id as ServerId, run.id);
        },
      },
    );
    engines.set(id, { engine, server: toServer(id) });
    book.putReport(
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
    const stepOn = () => {
      if (!engines.has(id)) return;
      const next = engine.step(getNow());
      clock.setTimer((next - getNow()) as Ms, stepOn);
    };
    stepOn();
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
      book,
      ownHall: HALL,
      way,
      rivals: 0,
      now: getNow(),
      random,
    });
  const addAt = (id: string, placed: Placed, readTokens = 0) => {
    const { run } = placed;
    placed.engine = id;
    book.addRun(id as ServerId, {
      id: run.id,
      promptTokens: run.prompt,
      expectedOut: run.guess,
      hasBegun: run.firstAt !== undefined,
      isMovable: true,
    });
    engines.get(id)!.engine.add(run, readTokens);
  };
  const place = (placed: Placed, aimMs: number) =>
    placeWithRoom(
      { waitingRoom },
      { service: SERVICE, tier: placed.run.tier, until: (getNow() + aimMs * 0.4) as Ms },
      {
        choose: () => choose(placed.run),
        place: (decision) => {
          if (decision.kind === "placed") addAt(decision.server.entry.id, placed);
        },
        tell: () => undefined,
      },
    );

  const beginRun = (kind: LoadKind) => {
    const out = Math.max(
      1,
      Math.min(
        kind.out.most,
        Math.round(sampleLogNormal(random, kind.out.mean, kind.out.spread)),
      ),
    );
    const prompt = Math.max(
      100,
      Math.min(
        kind.prompt.most,
        Math.round(sampleLogNormal(random, kind.prompt.mean, kind.prompt.spread)),
      ),
    );
    const run: ModelRun = {
      id: `r${all.size}`,
      kind: kind.name,
      prompt,
      out,
      guess: Math.round(
        Math.min(kind.out.most, out * Math.exp(kind.guessSpread * sampleNormal(random))),
      ),
      tier: kind.tiers[random.nextInt(0, kind.tiers.length - 1)]!,
      aimMs: kind.aimMs,
      arrivedAt: getNow(),
      made: 0,
      firstAt: undefined,
      lastAt: getNow(),
      longestPause: 0,
      preemptions: 0,
    };
    const placed: Placed = { run, engine: undefined, isEnded: false };
    all.set(run.id, placed);
    place(placed, kind.aimMs);
  };
  const scheduleArrival = (kind: LoadKind) => {
    const { share, periodMs } = pattern.swing;
    const rate =
      kind.perSecond * (1 + share * Math.sin((2 * Math.PI * getNow()) / periodMs));
    const pause = (-Math.log(1 - random.nextFloat()) * 1_000) / rate;
    clock.setTimer(pause as Ms, () => {
      if (getNow() > pattern.durationMs) return;
      beginRun(kind);
      scheduleArrival(kind);
    });
  };

  const passRunsOn = (id: string) => {
    const from = engines.get(id)!.engine;
    const runs = from.list().filter((run) => run.firstAt !== undefined);
    const targets = listCandidates().map(({ entry }) => ({
      server: entry.id,
      takenTokens: book
        .listRuns(entry.id)
        .reduce((sum, run) => sum + run.promptTokens + run.expectedOut, 0),
      totalTokens: pattern.traits.memory,
      isNear: false,
    }));
    const toMove = runs.map((run) => ({
      id: run.id,
      tokensInMemory: run.prompt + run.made,
      tokensLeft: Math.max(0, run.guess - run.made),
    }));
    const ranked = rankTargets(toMove, targets, 0);
    for (const run of runs) {
      const [target] = ranked.get(run.id) ?? [];
      if (target !== undefined) addAt(target, all.get(run.id)!, run.prompt + run.made);
    }
  };
  const endEngine = (id: string) => {
    engines.delete(id);
    book.drop(id as ServerId);
    for (const placed of all.values())
      if (placed.engine === id && !placed.isEnded) {
        const [kind] = pattern.kinds.filter(({ name }) => name === placed.run.kind);
        place(placed, kind!.aimMs / 2);
      }
    clock.setTimer(pattern.reclaims.backMs as Ms, startEngine);
  };
  const takeEnginesAway = () => {
    const { everyMs, share, noticeMs } = pattern.reclaims;
    const staying = listCandidates().map(({ entry }) => entry.id as string);
    const count = Math.round(pattern.engines * share);
    for (let i = 0; i < count && staying.length > 1; i += 1) {
      const [id] = staying.splice(random.nextInt(0, staying.length - 1), 1);
      leaving.add(id!);
      clock.setTimer(MOVE_MS as Ms, () => passRunsOn(id!));
      clock.setTimer(noticeMs as Ms, () => endEngine(id!));
    }
    clock.setTimer(everyMs as Ms, takeEnginesAway);
  };

  for (let i = 0; i < pattern.engines; i += 1) startEngine();
  for (const kind of pattern.kinds) scheduleArrival(kind);
  if (pattern.reclaims.share > 0) clock.setTimer(1_500 as Ms, takeEnginesAway);
  clock.advance((pattern.durationMs + 12_000) as Ms);
  return sumUp(pattern, [...all.values()]);
};

const computeSize = ({ prompt, out }: ModelRun) => prompt + OUT_WEIGHT * out;

const sumUp = (pattern: LoadPattern, placed: readonly Placed[]): LoadOutcome => {
  let [asked, earned] = [0, 0];
  const windows = new Map<number, [number, number]>();
  const kinds = pattern.kinds.map((kind): KindOutcome => {
    const own = placed.filter(({ run }) => run.kind === kind.name);
    const meanSize = own.reduce((sum, { run }) => sum + computeSize(run), 0) / own.length;
    let [askedHere, earnedHere, inTime, preemptions] = [0, 0, 0, 0];
    const firsts: number[] = [];
    for (const { run, isEnded } of own) {
      const factor = Math.min(MOST_WORTH, 0.3 + (0.7 * computeSize(run)) / meanSize);
      const first = (run.firstAt ?? Infinity) - run.arrivedAt;
      // What runs on beyond the play counts by what has come so far.
      const isServed = isEnded || run.firstAt !== undefined;
      const isOnTime =
        isServed && first <= kind.aimMs && run.longestPause <= kind.mostPauseMs;
      const credit = isOnTime ? kind.worth : isServed ? kind.worthLate : 0;
      firsts.push(first);
      askedHere += kind.worth * factor;
      earnedHere += credit * factor;
      if (isOnTime) inTime += 1;
      preemptions += run.preemptions;
      const window = Math.floor(run.arrivedAt / WINDOW_MS);
      const [a, e] = windows.get(window) ?? [0, 0];
      windows.set(window, [a + kind.worth * factor, e + credit * factor]);
    }
    asked += askedHere;
    earned += earnedHere;
    firsts.sort((a, b) => a - b);
    return {
      name: kind.name,
      asked: own.length,
      inTime,
      share: earnedHere / askedHere,
      firstP50: firsts[Math.floor(firsts.length / 2)] ?? 0,
      firstP99: firsts[Math.floor(firsts.length * 0.99)] ?? 0,
      preemptions,
    };
  });
  const worst = [...windows.values()]
    .map(([a, e]) => e / a)
    .sort((a, b) => a - b)
    .slice(0, 2);
  return {
    share: earned / asked,
    worstShare: worst.reduce((sum, one) => sum + one, 0) / worst.length,
    kinds,
  };
};
