/** The relay's shell on a virtual clock, before an engine that does what the test says. */
import { describe, expect, it } from "vitest";
import { indexBundle } from "@stairgauge/bundle";
import {
  createSeededRandom,
  createVirtualClock,
  type BackendServerName,
  type ModelName,
  type Ms,
  type RequestId,
  type WorkspaceName,
} from "@stairgauge/common";
import { buildExampleBundle, signExampleBundle } from "@stairgauge/standins";
import { createLogger, createMetrics } from "@stairgauge/telemetry";
import { createFakeEngine, type FakeLink } from "@stairgauge/testkit";
import { createRelay } from "./relay.js";
import type { AnswerSink, RunRequest } from "./types.js";

const GRACE_MS = 1_000 as Ms;

const createBench = (options: { readonly isRoomy?: boolean } = {}) => {
  const clock = createVirtualClock();
  const fake = createFakeEngine();
  const relay = createRelay({
    clock,
    random: createSeededRandom(1),
    engines: fake.client,
    logger: createLogger({ level: "silent", format: "json", base: {} }),
    metrics: createMetrics(),
    resumeGrace: GRACE_MS,
  });
  const engines = ["127.0.0.1:1", "127.0.0.1:2"];
  const bundle = buildExampleBundle({ engines, services: ["127.0.0.1:3"], ...options });
  const index = indexBundle({ head: signExampleBundle(bundle, 1).head, bundle });
  relay.adopt(index);
  return { clock, fake, relay, index };
};

type Bench = ReturnType<typeof createBench>;

/** Runs one streamed generation whose caller takes tokens while `hasRoom` says so. */
const runStream = (bench: Bench, id: string, hasRoom: () => boolean = () => true) => {
  const tokens: string[] = [];
  const ends: string[] = [];
  const sink: AnswerSink = {
    onToken: (_index, text) => {
      tokens.push(text);
      return hasRoom();
    },
    onDiscard: () => undefined,
    onEnd: () => ends.push("whole"),
    onRefused: ({ reason, outcome }) => ends.push(`${reason} ${outcome}`),
    onFailed: ({ kind }) => ends.push(kind),
  };
  const call: RunRequest["call"] = {
    id: id as RequestId,
    workspace: "kerlann" as WorkspaceName,
    model: "redac-llm" as ModelName,
    adapter: undefined,
    prompt: "x",
    promptTokens: 10,
    maxTokens: 100,
    stop: [],
    temperature: undefined,
  };
  const handle = bench.relay.run({
    call,
    index: bench.index,
    deliversAtOnce: true,
    mayRunAgain: true,
    sink,
  });
  return { tokens, ends, handle };
};

const sendTokens = (link: FakeLink, from: number, count: number) => {
  for (let index = from; index < from + count; index += 1) {
    const { generation } = link;
    link.handlers.onFrame({ kind: "token", generation, index, text: `${index}` });
  }
};

describe("createRelay", () => {
  it("pauses the link of a caller that takes nothing, and delays nobody else", () => {
    const bench = createBench();
    let hasRoom = false;
    const stalled = runStream(bench, "stalled", () => hasRoom);
    const other = runStream(bench, "other");
    const [stalledLink, otherLink] = bench.fake.links;
    sendTokens(stalledLink!, 0, 1);
    sendTokens(otherLink!, 0, 50);
    expect(stalledLink!.state.isPaused).toBe(true);
    expect(otherLink!.state.isPaused).toBe(false);
    expect(other.tokens).toHaveLength(50);
    bench.clock.advance(60_000 as Ms);
    expect(stalledLink!.state.isClosed).toBe(false);
    hasRoom = true;
    stalled.handle.setBlocked(false);
    expect(stalledLink!.state.isPaused).toBe(false);
  });

  it("lets one stalled reader among 1,000 delay nobody", () => {
    const bench = createBench({ isRoomy: true });
    const streams = Array.from({ length: 1_000 }, (_, i) =>
      runStream(bench, `s${i}`, () => i !== 0),
    );
    for (let index = 0; index < 20; index += 1) {
      for (const link of bench.fake.links)
        if (!link.state.isPaused) sendTokens(link, index, 1);
    }
    expect(streams[0]!.tokens).toHaveLength(1);
    for (const { tokens } of streams.slice(1)) expect(tokens).toHaveLength(20);
    expect(bench.fake.links.filter((link) => link.state.isPaused)).toHaveLength(1);
  });

  it("cancels a generation only after the grace, and only while nobody reads it", () => {
    const bench = createBench();
    const { handle } = runStream(bench, "a");
    const [link] = bench.fake.links;
    sendTokens(link!, 0, 3);
    handle.leave();
    bench.clock.advance((GRACE_MS - 1) as Ms);
    expect(bench.fake.cancelled).toEqual([]);
    bench.clock.advance(1 as Ms);
    expect(bench.fake.cancelled).toEqual([
      { generation: link!.generation, onlyIfDetached: true },
    ]);
  });

  it("resumes the same generation after a broken link, from the next token", () => {
    const bench = createBench();
    const { tokens, ends } = runStream(bench, "a");
    const [first] = bench.fake.links;
    sendTokens(first!, 0, 3);
    first!.handlers.onEnd({ kind: "closed_early", detail: "test" });
    const second = bench.fake.links[1]!;
    expect(second).toMatchObject({
      kind: "resume",
      from: 3,
      generation: first!.generation,
    });
    sendTokens(first!, 3, 1);
    sendTokens(second, 3, 2);
    const { generation } = second;
    second.handlers.onFrame({
      kind: "end",
      generation,
      reason: "stop",
      tokens: 5,
      promptTokens: 1,
    });
    expect(tokens).toEqual(["0", "1", "2", "3", "4"]);
    expect(ends).toEqual(["whole"]);
    expect(bench.relay.countRuns()).toBe(0);
  });

  it("places a second attempt elsewhere when an engine that leaves refuses", () => {
    const bench = createBench();
    runStream(bench, "a");
    const [first] = bench.fake.links;
    first!.handlers.onEnd({
      kind: "refused",
      status: 503,
      ranNothing: true,
      isLeaving: true,
    });
    expect(bench.fake.links[1]!.address).not.toBe(first!.address);
    for (let i = 0; i < 10; i += 1) runStream(bench, `later-${i}`);
    const later = bench.fake.links.slice(2);
    expect(later.map((link) => link.address)).not.toContain(first!.address);
  });

  it("does not say not run of a refusal after an attempt that may have run", () => {
    const bench = createBench();
    const { ends } = runStream(bench, "a");
    for (const name of ["engine-1", "engine-2"]) {
      bench.relay.markServer(name as BackendServerName, true);
    }
    bench.fake.links[0]!.handlers.onEnd({ kind: "closed_early", detail: "test" });
    expect(ends).toEqual(["no_backend_server unknown"]);
  });

  it("refuses what waits when the box stops, and says that it did not run", () => {
    const bench = createBench();
    for (let i = 0; i < 64; i += 1) runStream(bench, `busy-${i}`);
    const waiting = runStream(bench, "waiting");
    expect(waiting.ends).toEqual([]);
    bench.relay.refuseWaiting();
    expect(waiting.ends).toEqual(["leaving not_run"]);
  });
});
