/** Policy of the real system: one decision core per box, which receives the same events as in the daemon. */
import { checkBundle, hashKey, indexBundle, type BundleIndex } from "@stairgauge/bundle";
import {
  createSeededRandom,
  type BackendServerName,
  type GenerationId,
  type ModelName,
  type Ms,
  type RequestId,
  type WorkspaceName,
} from "@stairgauge/common";
import {
  createDecisionCore,
  type Decision,
  type DecisionEvent,
} from "@stairgauge/decisions";
import type { Arrival, Policy, PolicySetting, Profile } from "./types.js";

const MODEL = "model" as ModelName;
const PROGRESS_EVERY_TOKENS = 16;
/** High enough that the limits of workspaces never apply. */
const NO_LIMIT = 100_000;

const toServer = (engine: number) => `engine-${engine}` as BackendServerName;
const toEngine = (server: BackendServerName) => Number(server.slice("engine-".length));

/** Name for a pair of workspace and tier: each workspace of the bundle has one tier only. */
const toWorkspace = (workspace: string, tier: string) => `${workspace}.${tier}`;

const buildIndex = (profile: Profile): BundleIndex => {
  const result = checkBundle({
    tiers: profile.tiers,
    models: [
      { name: MODEL, contextTokens: 16_000, maxOutputTokens: profile.maxOutputTokens },
    ],
    workspaces: profile.workspaces.flatMap((workspace) =>
      profile.tiers.map((tier) => {
        const name = toWorkspace(workspace.name, tier.name);
        const limits = { concurrentStreams: NO_LIMIT, queuedRequests: NO_LIMIT };
        return {
          name,
          tier: tier.name,
          keyHashes: [hashKey(name)],
          models: [MODEL],
          limits,
        };
      }),
    ),
    backendServers: Array.from({ length: profile.engines }, (_, engine) => ({
      kind: "engine",
      name: toServer(engine),
      address: `127.0.0.1:${engine + 1}`,
      dataHall: "hall",
      serves: [MODEL],
      memoryTokens: profile.engine.memoryTokens,
      maxRunning: profile.engine.maxRunning,
    })),
  });
  if (result.err) throw new TypeError(JSON.stringify(result.val));
  const head = { version: 1, digest: "0".repeat(64), proposer: "p", approvals: [] };
  return indexBundle({ head, bundle: result.val });
};

/** Creates the policy with the real decision cores. */
export const createStairgaugePolicy = (setting: PolicySetting): Policy => {
  const { profile, boxes, seed, actions } = setting;
  const index = buildIndex(profile);
  const owners = new Map<GenerationId, number>();
  const leaving = new Set<number>();

  const createCore = (box: number) => {
    const core = createDecisionCore({ random: createSeededRandom(seed * 1_000 + box) });
    core.handle({ kind: "bundleAdopted", index }, 0 as Ms);
    return core;
  };
  const cores = Array.from({ length: boxes }, (_, box) => createCore(box));

  const apply = (decision: Decision) => {
    const id = decision.request as string as GenerationId;
    if (decision.kind === "placed") {
      actions.place(id, toEngine(decision.server), decision.priority);
    }
    if (decision.kind === "refused") {
      owners.delete(id);
      actions.refuse(id);
    }
  };
  const send = (box: number, event: DecisionEvent, now: Ms) => {
    for (const decision of cores[box]!.handle(event, now)) apply(decision);
  };
  const sendToOwner = (id: GenerationId, event: DecisionEvent, now: Ms) => {
    const box = owners.get(id);
    if (box !== undefined) send(box, event, now);
  };
  const toRequest = (id: GenerationId) => id as string as RequestId;

  return {
    handleArrival: (arrival: Arrival, now) => {
      owners.set(arrival.id, arrival.box);
      const { promptTokens, maxOutputTokens } = arrival;
      const workspace = toWorkspace(arrival.workspace, arrival.tier) as WorkspaceName;
      const id = toRequest(arrival.id);
      const request = {
        id,
        workspace,
        model: MODEL,
        promptTokens,
        maxOutputTokens,
        arrivedAt: now,
      };
      send(arrival.box, { kind: "arrived", request }, now);
    },
    handleProgress: (id, tokens, now) => {
      if (tokens % PROGRESS_EVERY_TOKENS !== 0) return;
      const request = toRequest(id);
      sendToOwner(id, { kind: "progressed", request, generatedTokens: tokens }, now);
    },
    handleEnd: (id, generatedTokens, isWhole, now) => {
      sendToOwner(
        id,
        { kind: "ended", request: toRequest(id), generatedTokens, isWhole },
        now,
      );
      owners.delete(id);
    },
    handleFailure: (id, engine, now) => {
      const server = toServer(engine);
      const request = toRequest(id);
      sendToOwner(id, { kind: "attemptFailed", request, server, isLeaving: false }, now);
    },
    handleReport: (box, engine, load, now) =>
      send(box, { kind: "loadReported", server: toServer(engine), load }, now),
    handleMark: (engine, isLeaving, now) => {
      if (isLeaving) leaving.add(engine);
      else leaving.delete(engine);
      const server = toServer(engine);
      cores.forEach((_, box) =>
        send(box, { kind: "serverMarked", server, isLeaving }, now),
      );
    },
    handleBoxLoss: (box, now) => {
      for (const [id, owner] of owners) if (owner === box) owners.delete(id);
      cores[box] = createCore(box);
      for (const engine of leaving) {
        send(
          box,
          { kind: "serverMarked", server: toServer(engine), isLeaving: true },
          now,
        );
      }
    },
    handleTick: (now) => cores.forEach((_, box) => send(box, { kind: "ticked" }, now)),
    countWaiting: () => cores.reduce((sum, core) => sum + core.countWaiting(), 0),
  };
};
