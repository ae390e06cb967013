/** Costs that are measured for docs/CAPACITY.md. */
import {
  computeDigest,
  indexBundle,
  parseBundle,
  renderCanonical,
} from "@stairgauge/bundle";
import {
  createSeededRandom,
  createVirtualClock,
  type BackendServerName,
  type GenerationId,
  type ModelName,
  type Ms,
  type RequestId,
  type WorkspaceName,
} from "@stairgauge/common";
import {
  createDecisionCore,
  type DecisionCore,
  type DecisionEvent,
} from "@stairgauge/decisions";
import { createRelay } from "@stairgauge/relay";
import { createStreamSession } from "@stairgauge/streams";
import { createLogger, createMetrics } from "@stairgauge/telemetry";
import { createFakeEngine } from "@stairgauge/testkit";
import { buildContent, buildIndex, toBundle } from "./syntheticBundle.js";
import type { SlopeProbe } from "./types.js";

const MICROSECONDS_PER_MS = 1_000;
const DECISIONS = 2_000;
const TOKENS = 200_000;
const HEAD = { version: 1, digest: "0".repeat(64), proposer: "p", approvals: [] };

const collectGarbage = () => {
  if (!globalThis.gc) throw new TypeError("slopes run under node --expose-gc");
  globalThis.gc();
};

/** References to the measured objects, so that they are not garbage-collected before the heap is read. */
const retained: unknown[] = [];

/** Returns the bytes of heap that the result of `make` retains. */
const measureHeap = <T>(make: () => T): number => {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  retained.push(make());
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  retained.length = 0;
  return after - before;
};

const measureMs = (run: () => void): number => {
  const start = performance.now();
  run();
  return performance.now() - start;
};

const createCore = (engines: number, workspaces: number): DecisionCore => {
  const core = createDecisionCore({ random: createSeededRandom(1) });
  const index = buildIndex({ engines, workspaces });
  core.handle({ kind: "bundleAdopted", index }, 0 as Ms);
  return core;
};

/** Returns the microseconds to place and end one request. */
const measureDecisions = (core: DecisionCore, workspaces: number): number => {
  const ms = measureMs(() => {
    for (let i = 0; i < DECISIONS; i += 1) {
      const id = `r${i}` as RequestId;
      const workspace = (i * 7_919) % workspaces;
      const request = {
        id,
        workspace: `workspace-${workspace}` as WorkspaceName,
        model: `model-${workspace % 7}` as ModelName,
        promptTokens: 300,
        maxOutputTokens: 4_000,
        arrivedAt: i as Ms,
      };
      core.handle({ kind: "arrived", request }, i as Ms);
      core.handle(
        { kind: "ended", request: id, generatedTokens: 200, isWhole: true },
        i as Ms,
      );
    }
  });
  return (ms * MICROSECONDS_PER_MS) / DECISIONS;
};

/** Returns the microseconds to handle one event. */
const measureEvents = (
  core: DecisionCore,
  makeEvent: (i: number) => DecisionEvent,
): number => {
  const ms = measureMs(() => {
    for (let i = 0; i < DECISIONS; i += 1) core.handle(makeEvent(i), i as Ms);
  });
  return (ms * MICROSECONDS_PER_MS) / DECISIONS;
};

const openStreams = (count: number) => {
  const fake = createFakeEngine();
  const index = buildIndex({ engines: 100, workspaces: 10 });
  const relay = createRelay({
    clock: createVirtualClock(),
    random: createSeededRandom(1),
    engines: fake.client,
    logger: createLogger({ level: "silent", format: "json", base: {} }),
    metrics: createMetrics(),
    resumeGrace: 1 as Ms,
  });
  relay.adopt(index);
  const drop = () => undefined;
  const sink = {
    onToken: () => true,
    onDiscard: drop,
    onEnd: drop,
    onRefused: drop,
    onFailed: drop,
  };
  for (let i = 0; i < count; i += 1) {
    const workspace = i % 10;
    relay.run({
      call: {
        id: `r${i}` as RequestId,
        workspace: `workspace-${workspace}` as WorkspaceName,
        model: `model-${workspace % 7}` as ModelName,
        adapter: undefined,
        prompt: "",
        promptTokens: 100,
        maxTokens: 100,
        stop: [],
        temperature: undefined,
      },
      index,
      deliversAtOnce: true,
      mayRunAgain: true,
      sink,
    });
  }
  return { relay, fake };
};

const measureSession = (tokens: number): number => {
  const generation = "g" as GenerationId;
  const session = createStreamSession({
    createGenerationId: () => generation,
    deliversAtOnce: true,
    mayRunAgain: true,
  });
  session.handle({ kind: "placed", server: "e" as never }, 0 as Ms);
  return measureMs(() => {
    for (let index = 0; index < tokens; index += 1) {
      const frame = { kind: "token", generation, index, text: " word" } as const;
      session.handle({ kind: "frame", link: 1, frame }, index as Ms);
    }
  });
};

/** All probes. Sites have 6, 75 or 750 engines and up to 35,000 workspaces. */
export const PROBES: readonly SlopeProbe[] = [
  {
    name: "heap of the bundle's index, by workspaces",
    unit: "bytes",
    sizes: [1_000, 10_000, 35_000],
    measure: (workspaces) => measureHeap(() => buildIndex({ workspaces, engines: 6 })),
  },
  {
    name: "heap of the bundle's index and the core's views, by engines",
    unit: "bytes",
    sizes: [6, 75, 750],
    measure: (engines) => measureHeap(() => createCore(engines, 10)),
  },
  {
    name: "heap of the relay and the core, by open streams",
    unit: "bytes",
    sizes: [500, 1_000, 2_000],
    measure: (streams) => measureHeap(() => openStreams(streams)),
  },
  {
    name: "time to place and end a request, by engines",
    unit: "microseconds",
    sizes: [6, 75, 750],
    measure: (engines) => measureDecisions(createCore(engines, 10), 10),
  },
  {
    name: "time to place and end a request, by workspaces",
    unit: "microseconds",
    sizes: [10, 1_000, 35_000],
    measure: (workspaces) => measureDecisions(createCore(75, workspaces), workspaces),
  },
  {
    name: "time of a tick and its summary, by engines",
    unit: "microseconds",
    sizes: [6, 75, 750],
    measure: (engines) =>
      measureEvents(createCore(engines, 10), () => ({ kind: "ticked" })),
  },
  {
    name: "time to take a load report, by engines",
    unit: "microseconds",
    sizes: [6, 75, 750],
    measure: (engines) =>
      measureEvents(createCore(engines, 10), (i) => ({
        kind: "loadReported",
        server: `engine-${i % engines}` as BackendServerName,
        load: { running: 10, waiting: 0, usedTokens: 1_000, isLeaving: false },
      })),
  },
  {
    name: "time of the session's part of relaying, by tokens",
    unit: "milliseconds",
    sizes: [TOKENS / 4, TOKENS / 2, TOKENS],
    measure: measureSession,
  },
  {
    name: "time to read, check and index a bundle, by workspaces",
    unit: "milliseconds",
    sizes: [1_000, 10_000, 35_000],
    measure: (workspaces) => {
      const content = renderCanonical(
        toBundle(buildContent({ workspaces, engines: 750 })),
      );
      return measureMs(() => {
        const digest = computeDigest(content);
        const parsed = parseBundle(content);
        if (parsed.err) throw new TypeError(digest);
        indexBundle({ head: HEAD, bundle: parsed.val });
      });
    },
  },
  {
    name: "size of a bundle's content, by workspaces",
    unit: "bytes",
    sizes: [1_000, 10_000, 35_000],
    measure: (workspaces) =>
      Buffer.byteLength(
        renderCanonical(toBundle(buildContent({ workspaces, engines: 750 }))),
      ),
  },
];
