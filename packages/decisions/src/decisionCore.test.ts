/** Tests of the decision core, with random events and with fixed examples. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { checkBundle, hashKey, indexBundle, type Bundle } from "@stairgauge/bundle";
import {
  createSeededRandom,
  type BackendServerName,
  type ModelName,
  type Ms,
  type RequestId,
  type WorkspaceName,
} from "@stairgauge/common";
import { createDecisionCore } from "./decisionCore.js";
import type { Decision, DecisionEvent } from "./types.js";

const MODEL = "m" as ModelName;
const DEADLINE_MS = 5_000;

const buildIndex = (
  options: { readonly engines?: number; readonly maxRunning?: number } = {},
) => {
  const bundle = checkBundle({
    tiers: [
      { name: "gold", rank: 0, firstTokenDeadlineMs: DEADLINE_MS },
      { name: "bronze", rank: 1, firstTokenDeadlineMs: DEADLINE_MS },
    ],
    models: [{ name: "m", contextTokens: 4_000, maxOutputTokens: 1_000 }],
    workspaces: ["a", "b", "c"].map((name, i) => ({
      name,
      tier: i === 2 ? "bronze" : "gold",
      keyHashes: [hashKey(name)],
      models: ["m"],
      limits: { concurrentStreams: 6, queuedRequests: 10 },
    })),
    backendServers: Array.from({ length: options.engines ?? 2 }, (_, i) => ({
      kind: "engine",
      name: `e${i}`,
      address: `127.0.0.1:${i + 1}`,
      dataHall: "hall",
      serves: ["m"],
      memoryTokens: 4_000,
      maxRunning: options.maxRunning ?? 8,
    })),
  }).val as Bundle;
  const head = { version: 1, digest: "0".repeat(64), proposer: "p", approvals: [] };
  return indexBundle({ head, bundle });
};

const createCore = (options: Parameters<typeof buildIndex>[0] = {}) => {
  const core = createDecisionCore({ random: createSeededRandom(7) });
  core.handle({ kind: "bundleAdopted", index: buildIndex(options) }, 0 as Ms);
  return core;
};

const buildArrival = (
  id: string,
  workspace = "a",
  promptTokens = 100,
  at = 0,
): DecisionEvent => ({
  kind: "arrived",
  request: {
    id: id as RequestId,
    workspace: workspace as WorkspaceName,
    model: MODEL,
    promptTokens,
    maxOutputTokens: 1_000,
    arrivedAt: at as Ms,
  },
});

const buildEnd = (id: string): DecisionEvent => ({
  kind: "ended",
  request: id as RequestId,
  generatedTokens: 10,
  isWhole: true,
});

const findPlaced = (decisions: readonly Decision[]) =>
  decisions.flatMap((decision) => (decision.kind === "placed" ? [decision] : []));

const COMMAND = fc.oneof(
  fc.record({
    kind: fc.constant("arrive" as const),
    workspace: fc.constantFrom("a", "b", "c"),
    promptTokens: fc.integer({ min: 1, max: 5_000 }),
  }),
  fc.record({ kind: fc.constant("end" as const), which: fc.nat() }),
  fc.record({
    kind: fc.constant("fail" as const),
    which: fc.nat(),
    isLeaving: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("tick" as const),
    after: fc.integer({ min: 1, max: 4_000 }),
  }),
  fc.record({ kind: fc.constant("leave" as const), server: fc.constantFrom("e0", "e1") }),
);

describe("createDecisionCore", () => {
  it("keeps all limits, and places, queues or refuses each request, under random events", () => {
    const run = fc.property(fc.array(COMMAND, { maxLength: 80 }), (commands) => {
      const core = createCore();
      const placed = new Map<string, string>();
      const waiting = new Set<string>();
      const refused = new Set<string>();
      const leaving = new Set<string>();
      const workspaces = new Map<string, string>();
      let now = 0;
      let count = 0;
      const apply = (event: DecisionEvent) => {
        for (const decision of core.handle(event, now as Ms)) {
          const { request } = decision;
          expect(refused.has(request)).toBe(false);
          if (decision.kind === "placed") {
            expect(placed.has(request)).toBe(false);
            expect(leaving.has(decision.server)).toBe(false);
            placed.set(request, decision.server);
            waiting.delete(request);
          }
          if (decision.kind === "waiting") waiting.add(request);
          if (decision.kind === "refused") {
            waiting.delete(request);
            refused.add(request);
          }
        }
        for (const server of ["e0", "e1"]) {
          expect(
            [...placed.values()].filter((one) => one === server).length,
          ).toBeLessThanOrEqual(8);
        }
        for (const workspace of ["a", "b", "c"]) {
          const own = [...placed.keys()].filter((id) => workspaces.get(id) === workspace);
          expect(own.length).toBeLessThanOrEqual(6);
        }
        expect(core.countWaiting()).toBe(waiting.size);
      };
      for (const command of commands) {
        const running = [...placed.keys()];
        if (command.kind === "arrive") {
          const id = `r${count++}`;
          workspaces.set(id, command.workspace);
          apply(buildArrival(id, command.workspace, command.promptTokens, now));
          expect(
            Number(placed.has(id)) + Number(waiting.has(id)) + Number(refused.has(id)),
          ).toBe(1);
        }
        if (command.kind === "end" && running.length > 0) {
          const id = running[command.which % running.length]!;
          placed.delete(id);
          apply(buildEnd(id));
        }
        if (command.kind === "fail" && running.length > 0) {
          const id = running[command.which % running.length]!;
          const server = placed.get(id)! as BackendServerName;
          placed.delete(id);
          if (command.isLeaving) leaving.add(server);
          const { isLeaving } = command;
          apply({ kind: "attemptFailed", request: id as RequestId, server, isLeaving });
        }
        if (command.kind === "tick") {
          now += command.after;
          apply({ kind: "ticked" });
        }
        if (command.kind === "leave") {
          leaving.add(command.server);
          const server = command.server as BackendServerName;
          apply({ kind: "serverMarked", server, isLeaving: true });
        }
      }
      now += DEADLINE_MS;
      apply({ kind: "ticked" });
      expect(waiting.size).toBe(0);
    });
    fc.assert(run, { seed: 11, numRuns: 400 });
  });

  it("places requests of the better tier first, and workspaces of one tier in turn", () => {
    const core = createCore({ engines: 1, maxRunning: 1 });
    core.handle(buildArrival("first", "a"), 0 as Ms);
    for (const id of ["a1", "a2", "a3"]) core.handle(buildArrival(id, "a"), 0 as Ms);
    core.handle(buildArrival("c1", "c"), 0 as Ms);
    core.handle(buildArrival("b1", "b"), 0 as Ms);
    const order: string[] = [];
    for (let running = "first"; running !== "";) {
      const [next] = findPlaced(core.handle(buildEnd(running), 0 as Ms));
      running = next?.request ?? "";
      if (next) order.push(next.request);
    }
    expect(order).toEqual(["a1", "b1", "a2", "a3", "c1"]);
  });

  it("refuses a request at once if it exceeds every engine's memory or its queue is full", () => {
    const core = createCore({ engines: 1, maxRunning: 1 });
    expect(core.handle(buildArrival("big", "a", 9_000), 0 as Ms)).toMatchObject([
      { kind: "refused", reason: "too_large_for_memory" },
    ]);
    const decisions = Array.from({ length: 12 }, (_, i) =>
      core.handle(buildArrival(`r${i}`), 0 as Ms),
    ).flat();
    expect(decisions.at(-1)).toMatchObject({ kind: "refused", reason: "queue_full" });
  });

  it("refuses a request that has waited for its tier's deadline, and gives a retry time", () => {
    const core = createCore({ engines: 1, maxRunning: 1 });
    core.handle(buildArrival("first"), 0 as Ms);
    core.handle(buildArrival("late"), 0 as Ms);
    expect(core.handle({ kind: "ticked" }, (DEADLINE_MS - 1) as Ms)).toEqual([]);
    const [decision] = core.handle({ kind: "ticked" }, DEADLINE_MS as Ms);
    expect(decision).toMatchObject({ kind: "refused", reason: "deadline_unreachable" });
    expect((decision as { retryAfter: number }).retryAfter).toBeGreaterThan(0);
  });
});
