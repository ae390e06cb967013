/** Places, queues and refuses requests. No I/O: time and randomness are passed in. */
import type { BundleIndex, Tier, Workspace } from "@stairgauge/bundle";
import {
  assertNever,
  type BackendServerName,
  type Ms,
  type Random,
  type RequestId,
} from "@stairgauge/common";
import { createAdmissionQueue } from "./admissionQueue.js";
import { choosePlace, type Choice } from "./choosePlace.js";
import { EJECTION_MS, MIN_RETRY_AFTER_MS } from "./constants.js";
import { computeBoxSummary } from "./boxSummary.js";
import { computeCaution } from "./computeCaution.js";
import { createEngineView, type BoxSummary, type EngineView } from "./engineView.js";
import { createLengthEstimator, type LengthKey } from "./lengthEstimator.js";
import { computeForecast, type Forecast, type ForecastStream } from "./memoryForecast.js";
import { createPlacementRate } from "./placementRate.js";
import type {
  Decision,
  DecisionEvent,
  GenerationRequest,
  RefusalReason,
  WaitingReason,
} from "./types.js";

/** Engines that serve one model, and the memory of the largest of them in tokens. */
type ModelEngines = Readonly<{ views: readonly EngineView[]; largestMemory: number }>;

/** Workspace and tier in force when the request arrived; later bundles do not change them. */
type Rules = Readonly<{ workspace: Workspace; tier: Tier }>;

/** A request that is queued or placed. */
type Entry = {
  readonly request: GenerationRequest;
  readonly rules: Rules;
  readonly stream: ForecastStream;
  readonly forecast: Forecast;
  /** Where the request is placed; undefined while it waits. */
  server: BackendServerName | undefined;
};

/** Decides about all requests of one box. */
export type DecisionCore = Readonly<{
  /** Applies an event at a time of the monotonic clock and returns the decisions that follow. */
  handle: (event: DecisionEvent, now: Ms) => readonly Decision[];
  /** Number of queued requests. */
  countWaiting: () => number;
}>;

const NO_DECISIONS: readonly Decision[] = [];

/** Creates a core without a bundle; until it adopts one, it refuses every request. */
export const createDecisionCore = (options: {
  readonly random: Random;
}): DecisionCore => {
  const { random } = options;
  const queue = createAdmissionQueue();
  const entries = new Map<RequestId, Entry>();
  const placedByWorkspace = new Map<string, number>();
  /** Servers that the platform's list marks as leaving. Kept when another bundle is adopted. */
  const listedLeaving = new Set<string>();
  let views: ReadonlyMap<string, EngineView> = new Map();
  let byModel: ReadonlyMap<string, ModelEngines> = new Map();
  const estimator = createLengthEstimator();
  const rate = createPlacementRate();
  let index: BundleIndex | undefined;
  let lastRank = 0;
  let summary: BoxSummary = computeBoxSummary([], 0, 0 as Ms);

  const adopt = (adopted: BundleIndex) => {
    index = adopted;
    lastRank = Math.max(...adopted.active.bundle.tiers.map((tier) => tier.rank));
    const engines = adopted.active.bundle.backendServers.filter(
      (one) => one.kind === "engine",
    );
    const previous = views;
    views = new Map(
      engines.map((server) => {
        const old = previous.get(server.name);
        const isSame = old && JSON.stringify(old.server) === JSON.stringify(server);
        return [server.name, isSame ? old : createEngineView(server)];
      }),
    );
    byModel = new Map(
      [...adopted.enginesByModel].map(([model, servers]) => [
        model,
        {
          views: servers.flatMap((server) => views.get(server.name) ?? []),
          largestMemory: Math.max(...servers.map((server) => server.memoryTokens)),
        },
      ]),
    );
    for (const name of listedLeaving) views.get(name)?.setListedLeaving(true);
  };

  const listViews = (model: string): readonly EngineView[] =>
    byModel.get(model)?.views ?? [];

  const countPlaced = (workspace: string) => placedByWorkspace.get(workspace) ?? 0;
  const changePlaced = (workspace: string, change: number) => {
    const count = countPlaced(workspace) + change;
    if (count > 0) placedByWorkspace.set(workspace, count);
    else placedByWorkspace.delete(workspace);
  };

  const refuse = (request: GenerationRequest, reason: RefusalReason): Decision => {
    const deadline = entries.get(request.id)?.rules.tier.firstTokenDeadlineMs ?? 0;
    entries.delete(request.id);
    const retryAfter = Math.max(MIN_RETRY_AFTER_MS, deadline / 2) as Ms;
    return { kind: "refused", request: request.id, reason, retryAfter };
  };

  const place = (
    entry: Entry,
    choice: Extract<Choice, { kind: "chosen" }>,
    now: Ms,
  ): Decision => {
    const { request, rules } = entry;
    const server = choice.view.server.name as BackendServerName;
    rate.record(request.promptTokens, now);
    choice.view.place(request.id, entry.stream, now);
    entry.server = server;
    changePlaced(request.workspace, 1);
    return {
      kind: "placed",
      request: request.id,
      server,
      priority: rules.tier.rank,
      reason: choice.reason,
      considered: choice.considered,
      waited: (now - request.arrivedAt) as Ms,
    };
  };

  const toLengthKey = (request: GenerationRequest): LengthKey => ({
    workspace: request.workspace,
    model: request.model,
    promptTokens: request.promptTokens,
  });

  const createEntry = (request: GenerationRequest, rules: Rules): Entry => {
    const { promptTokens, maxOutputTokens } = request;
    const curve = estimator.getCurve(toLengthKey(request));
    const stream = { promptTokens, maxOutputTokens, generatedTokens: 0, curve };
    return {
      request,
      rules,
      stream,
      forecast: computeForecast(stream),
      server: undefined,
    };
  };

  const choose = ({ request, rules, forecast }: Entry, now: Ms): Choice =>
    choosePlace({
      views: listViews(request.model),
      candidate: forecast,
      summary,
      caution: computeCaution({
        rank: rules.tier.rank,
        lastRank,
        waitedShare: (now - request.arrivedAt) / rules.tier.firstTokenDeadlineMs,
      }),
      random,
      now,
    });

  const isAtLimit = ({ rules, request }: Entry): boolean =>
    countPlaced(request.workspace) >= rules.workspace.limits.concurrentStreams;

  const fitsNowhere = ({ model, promptTokens }: GenerationRequest): boolean =>
    (byModel.get(model)?.largestMemory ?? Number.POSITIVE_INFINITY) <= promptTokens;

  const enqueue = (
    entry: Entry,
    reason: WaitingReason,
    considered: Extract<Decision, { kind: "waiting" }>["considered"],
  ): Decision => {
    const { request, rules } = entry;
    const { rank } = rules.tier;
    if (
      queue.countWorkspace(rank, request.workspace) >=
      rules.workspace.limits.queuedRequests
    ) {
      return refuse(request, "queue_full");
    }
    const ahead = queue.getSize();
    queue.add(rank, request);
    return { kind: "waiting", request: request.id, reason, ahead, considered };
  };

  const handleArrived = (request: GenerationRequest, now: Ms): readonly Decision[] => {
    const workspace = index?.workspaces.get(request.workspace);
    const tier = workspace && index?.tiers.get(workspace.tier);
    if (!workspace || !tier) return [refuse(request, "no_backend_server")];
    const entry = createEntry(request, { workspace, tier });
    entries.set(request.id, entry);
    if (fitsNowhere(request)) return [refuse(request, "too_large_for_memory")];
    if (isAtLimit(entry)) return [enqueue(entry, "workspace_limit", [])];
    if (queue.getSize() > 0) {
      const decision = enqueue(entry, "behind_others", []);
      return [decision, ...drain(now)];
    }
    const choice = choose(entry, now);
    switch (choice.kind) {
      case "chosen":
        return [place(entry, choice, now)];
      case "none_free":
        return [enqueue(entry, choice.reason, choice.considered)];
      case "none_left":
        return [refuse(request, "no_backend_server")];
      default:
        return assertNever(choice);
    }
  };

  /** Places waiting requests, one of each workspace in turn, until no more fit. */
  const drain = (now: Ms): readonly Decision[] => {
    if (queue.getSize() === 0) return NO_DECISIONS;
    const decisions: Decision[] = [];
    const fullModels = new Set<string>();
    for (let hasPlaced = true; hasPlaced;) {
      hasPlaced = false;
      for (const { rank, request } of queue.listHeads()) {
        const entry = entries.get(request.id);
        if (!entry || fullModels.has(request.model) || isAtLimit(entry)) continue;
        const choice = choose(entry, now);
        if (choice.kind !== "chosen") {
          fullModels.add(request.model);
          continue;
        }
        queue.remove(rank, request);
        decisions.push(place(entry, choice, now));
        hasPlaced = true;
      }
    }
    return decisions;
  };

  const refuseLate = (now: Ms): readonly Decision[] =>
    queue.listAll().flatMap(({ rank, request }) => {
      const entry = entries.get(request.id);
      const deadline = entry?.rules.tier.firstTokenDeadlineMs ?? 0;
      if (now - request.arrivedAt < deadline) return [];
      queue.remove(rank, request);
      return [refuse(request, "deadline_unreachable")];
    });

  const release = (entry: Entry) => {
    if (!entry.server) return;
    views.get(entry.server)?.remove(entry.request.id);
    entry.server = undefined;
    changePlaced(entry.request.workspace, -1);
  };

  const handleAttemptFailed = (
    event: Extract<DecisionEvent, { kind: "attemptFailed" }>,
    now: Ms,
  ): readonly Decision[] => {
    const entry = entries.get(event.request);
    if (!entry) return NO_DECISIONS;
    release(entry);
    const view = views.get(event.server);
    if (event.isLeaving) view?.recordLeavingRefusal(now);
    else view?.eject((now + EJECTION_MS) as Ms);
    const choice = choose(entry, now);
    if (choice.kind === "chosen") return [place(entry, choice, now)];
    if (choice.kind === "none_left") return [refuse(entry.request, "no_backend_server")];
    queue.addFirst(entry.rules.tier.rank, entry.request);
    const { reason, considered } = choice;
    return [{ kind: "waiting", request: event.request, reason, ahead: 0, considered }];
  };

  const handleProgressed = (event: Extract<DecisionEvent, { kind: "progressed" }>) => {
    const server = entries.get(event.request)?.server;
    if (server) views.get(server)?.recordProgress(event.request, event.generatedTokens);
    return NO_DECISIONS;
  };

  const handleEnded = (
    event: Extract<DecisionEvent, { kind: "ended" }>,
    now: Ms,
  ): readonly Decision[] => {
    const id = event.request;
    const entry = entries.get(id);
    if (!entry) return NO_DECISIONS;
    if (event.isWhole)
      estimator.observe(toLengthKey(entry.request), event.generatedTokens);
    if (!entry.server) queue.remove(entry.rules.tier.rank, entry.request);
    release(entry);
    entries.delete(id);
    return drain(now);
  };

  const handle = (event: DecisionEvent, now: Ms): readonly Decision[] => {
    switch (event.kind) {
      case "bundleAdopted":
        adopt(event.index);
        return drain(now);
      case "arrived":
        return handleArrived(event.request, now);
      case "attemptFailed":
        return handleAttemptFailed(event, now);
      case "progressed":
        return handleProgressed(event);
      case "ended":
        return handleEnded(event, now);
      case "loadReported":
        views.get(event.server)?.recordReport(event.load, now);
        return drain(now);
      case "serverMarked":
        if (event.isLeaving) listedLeaving.add(event.server);
        else listedLeaving.delete(event.server);
        views.get(event.server)?.setListedLeaving(event.isLeaving);
        return NO_DECISIONS;
      case "ticked":
        summary = computeBoxSummary(views.values(), rate.compute(now), now);
        return [...refuseLate(now), ...drain(now)];
      default:
        return assertNever(event);
    }
  };

  return { handle, countWaiting: queue.getSize };
};
