/** Tests of the relay with a virtual clock and a fake engine. */
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

const createFixture = (options: { readonly isRoomy?: boolean } = {}) => {
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

type Fixture = ReturnType<typeof createFixture>;

/** Runs one streamed generation. Its caller accepts more tokens while `isWritable` returns true. */
const runStream = (
  fixture: Fixture,
  id: string,
  isWritable: () => boolean = () => true,
) => {
  const tokens: string[] = [];
  const ends: string[] = [];
  const sink: AnswerSink = {
    onToken: (_index, text) => {
      tokens.push(text);
      return isWritable();
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
  const handle = fixture.relay.run({
    call,
    index: fixture.index,
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
  it("pauses the link of a caller that reads nothing, and does not delay other streams", () => {
    const fixture = createFixture();
    let isWritable = false;
    const stalled = runStream(fixture, "stalled", () => isWritable);
    const other = runStream(fixture, "other");
    const [stalledLink, otherLink] = fixture.fake.links;
    sendTokens(stalledLink!, 0, 1);
    sendTokens(otherLink!, 0, 50);
    expect(stalledLink!.state.isPaused).toBe(true);
    expect(otherLink!.state.isPaused).toBe(false);
    expect(other.tokens).toHaveLength(50);
    fixture.clock.advance(60_000 as Ms);
    expect(stalledLink!.state.isClosed).toBe(false);
    isWritable = true;
    stalled.handle.setBlocked(false);
    expect(stalledLink!.state.isPaused).toBe(false);
  });

  it("does not delay 999 streams when the caller of another one reads nothing", () => {
    const fixture = createFixture({ isRoomy: true });
    const streams = Array.from({ length: 1_000 }, (_, i) =>
      runStream(fixture, `s${i}`, () => i !== 0),
    );
    for (let index = 0; index < 20; index += 1) {
      for (const link of fixture.fake.links)
        if (!link.state.isPaused) sendTokens(link, index, 1);
    }
    expect(streams[0]!.tokens).toHaveLength(1);
    for (const { tokens } of streams.slice(1)) expect(tokens).toHaveLength(20);
    expect(fixture.fake.links.filter((link) => link.state.isPaused)).toHaveLength(1);
  });

  it("cancels a generation without a caller after the grace period, only if it is detached", () => {
    const fixture = createFixture();
    const { handle } = runStream(fixture, "a");
    const [link] = fixture.fake.links;
    sendTokens(link!, 0, 3);
    handle.leave();
    fixture.clock.advance((GRACE_MS - 1) as Ms);
    expect(fixture.fake.cancelled).toEqual([]);
    fixture.clock.advance(1 as Ms);
    expect(fixture.fake.cancelled).toEqual([
      { generation: link!.generation, onlyIfDetached: true },
    ]);
  });

  it("resumes the same generation from the next token after its link breaks", () => {
    const fixture = createFixture();
    const { tokens, ends } = runStream(fixture, "a");
    const [first] = fixture.fake.links;
    sendTokens(first!, 0, 3);
    first!.handlers.onEnd({ kind: "closed_early", detail: "test" });
    const second = fixture.fake.links[1]!;
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
    expect(fixture.relay.countRuns()).toBe(0);
  });

  it("places the second attempt on another engine when a leaving engine refuses the first", () => {
    const fixture = createFixture();
    runStream(fixture, "a");
    const [first] = fixture.fake.links;
    first!.handlers.onEnd({
      kind: "refused",
      status: 503,
      ranNothing: true,
      isLeaving: true,
    });
    expect(fixture.fake.links[1]!.address).not.toBe(first!.address);
    for (let i = 0; i < 10; i += 1) runStream(fixture, `later-${i}`);
    const later = fixture.fake.links.slice(2);
    expect(later.map((link) => link.address)).not.toContain(first!.address);
  });

  it("reports the outcome unknown for a refusal after an attempt that may have run", () => {
    const fixture = createFixture();
    const { ends } = runStream(fixture, "a");
    for (const name of ["engine-1", "engine-2"]) {
      fixture.relay.markServer(name as BackendServerName, true);
    }
    fixture.fake.links[0]!.handlers.onEnd({ kind: "closed_early", detail: "test" });
    expect(ends).toEqual(["no_backend_server unknown"]);
  });

  it("refuses waiting requests with the outcome not run when the box stops", () => {
    const fixture = createFixture();
    for (let i = 0; i < 64; i += 1) runStream(fixture, `busy-${i}`);
    const waiting = runStream(fixture, "waiting");
    expect(waiting.ends).toEqual([]);
    fixture.relay.refuseWaiting();
    expect(waiting.ends).toEqual(["leaving not_run"]);
  });
});
