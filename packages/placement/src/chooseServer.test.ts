import { describe, expect, it } from "vitest";
import {
  createSeededRandom,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import {
  ENGINE_WAYS,
  chooseServer,
  createLoadRegistry,
  type EngineReport,
  type PlacedRun,
} from "./index.js";

const makeServer = (id: string, hall = "h"): BackendServer => ({
  entry: {
    id: id as ServerId,
    name: id as ServerName,
    startedAt: undefined,
    service: "s" as ServiceName,
    address: { host: "10.0.0.1", port: 80 },
    dataHall: hall as DataHallName,
    slots: 6,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  },
  leaving: undefined,
});

const makeRun = (id: string, changes: Partial<PlacedRun> = {}): PlacedRun => ({
  id,
  promptTokens: 3_000,
  expectedOut: 200,
  hasBegun: true,
  isMovable: true,
  ...changes,
});

const makeReport = (changes: Partial<EngineReport> = {}): EngineReport => ({
  startedAt: undefined,
  isLeaving: false,
  leavesIn: undefined,
  waiting: 0,
  firstWaitingTokens: 0,
  running: 0,
  memoryUsed: 0,
  memoryTotal: 34_000,
  runs: [],
  ...changes,
});

const GENERATION = { tokens: { prompt: 2_000, expectedOut: 100, isMovable: true } };
const a = makeServer("a");
const b = makeServer("b");

const choose = (
  registry: ReturnType<typeof createLoadRegistry>,
  demand = GENERATION as Parameters<typeof chooseServer>[0]["demand"],
  candidates = [a, b],
  { expectedCompetitors = 0, random = createSeededRandom(4) } = {},
) => {
  const decision = chooseServer({
    candidates,
    demand,
    registry,
    ownHall: "h" as DataHallName,
    way: ENGINE_WAYS.short_queue,
    expectedCompetitors,
    now: 1_000 as Ms,
    random,
  });
  return decision.kind === "placed" ? decision.server.entry.id : decision.kind;
};

describe("chooseServer for generations", () => {
  it("prefers an engine with less free memory over one with a waiting prompt", () => {
    const book = createLoadRegistry();
    const [soon, later] = [a.entry.id, b.entry.id];
    const run = { expectedOut: 0, isMovable: true };
    book.addRun(soon, { ...run, id: "r1", promptTokens: 17_000, hasBegun: true });
    book.addRun(later, { ...run, id: "r2", promptTokens: 5_000, hasBegun: false });
    for (const id of [soon, later]) book.putReport(id, makeReport(), 1_000 as Ms);
    // By memory alone, even with waiting prompts counted three times, the other engine is emptier:
    // 15,000 of 34,000 tokens.
    for (let seed = 0; seed < 20; seed += 1)
      expect(choose(book, GENERATION, [a, b], { random: createSeededRandom(seed) })).toBe(
        soon,
      );
  });

  it("avoids an engine that another box has just filled, before any report shows this", () => {
    const book = createLoadRegistry();
    for (const id of ["1", "2", "3"])
      book.putPeerRun("box", { server: a.entry.id, run: makeRun(id) });
    expect(choose(book)).toBe("b");
  });

  it("avoids waiting prompts more than memory in use", () => {
    const book = createLoadRegistry();
    book.addRun(a.entry.id, makeRun("1", { hasBegun: false, promptTokens: 3_000 }));
    book.addRun(b.entry.id, makeRun("2", { promptTokens: 5_500 }));
    expect(choose(book)).toBe("b");
  });

  it("counts a run once if both a box and the engine report it", () => {
    const book = createLoadRegistry();
    const runs = [{ id: "1", tokensInMemory: 3_000, eventsMade: 3 }];
    book.addRun(a.entry.id, makeRun("1"));
    book.putReport(a.entry.id, makeReport({ runs }), 900 as Ms);
    book.putReport(
      b.entry.id,
      makeReport({ runs: [{ id: "9", tokensInMemory: 6_500, eventsMade: 1 }] }),
      900 as Ms,
    );
    expect(choose(book)).toBe("a");
  });

  it("counts the prompts of other boxes that were waiting when the report was made", () => {
    const book = createLoadRegistry();
    book.putReport(
      a.entry.id,
      makeReport({ waiting: 4, firstWaitingTokens: 2_000 }),
      900 as Ms,
    );
    book.putReport(b.entry.id, makeReport(), 900 as Ms);
    expect(choose(book)).toBe("b");
  });

  it("spreads placements beyond the one empty engine if boxes can't see each other's placements", () => {
    const engines = ["new", "1", "2", "3", "4", "5"].map((id) => makeServer(id));
    const book = createLoadRegistry();
    for (const { entry } of engines.slice(1))
      for (const run of ["x", "y"]) book.addRun(entry.id, makeRun(`${entry.id} ${run}`));
    const random = createSeededRandom(9);
    const countNew = (expectedCompetitors: number) =>
      Array.from({ length: 200 }, () =>
        choose(book, GENERATION, engines, { expectedCompetitors, random }),
      ).filter((id) => id === "new").length;
    expect(countNew(0)).toBe(200);
    expect(countNew(0.3)).toBe(200);
    expect(countNew(2)).toBeLessThan(140);
    expect(countNew(2)).toBeGreaterThan(50);
    expect(countNew(5)).toBeLessThan(80);
  });

  it("returns no server if there are no candidates", () => {
    expect(choose(createLoadRegistry(), GENERATION, [])).toBe("no_server");
  });
});

describe("chooseServer for plain requests", () => {
  const plain = { tokens: undefined };

  it("chooses the least busy server, and one in the own data hall on a tie", () => {
    const far = makeServer("far", "other");
    const book = createLoadRegistry();
    expect(choose(book, plain, [far, a])).toBe("a");
    book.addOpen(a.entry.id);
    book.addOpen(a.entry.id);
    expect(choose(book, plain, [far, a])).toBe("far");
  });
});
