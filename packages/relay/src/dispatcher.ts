/** Shell of the decision core: feeds it events, applies and logs its decisions. */
import type { BundleIndex } from "@stairgauge/bundle";
import {
  assertNever,
  type BackendServerName,
  type Clock,
  type Ms,
  type Random,
  type RequestId,
} from "@stairgauge/common";
import {
  createDecisionCore,
  type Decision,
  type DecisionEvent,
  type GenerationRequest,
} from "@stairgauge/decisions";
import type { Logger, Metrics } from "@stairgauge/telemetry";
import type { PlacementRefusal } from "./types.js";

/** Receives what was decided of one request. */
export type PlacementHandlers = Readonly<{
  onPlaced: (server: BackendServerName, priority: number) => void;
  onRefused: (refusal: PlacementRefusal) => void;
}>;

/** Decides for every request of the box. */
export type Dispatcher = Readonly<{
  submit: (request: GenerationRequest, handlers: PlacementHandlers) => void;
  /** Tells the core of a load report, a mark, progress or a failed attempt. */
  tell: (event: Exclude<DecisionEvent, { kind: "arrived" | "ended" }>) => void;
  end: (request: RequestId, generatedTokens: number, isWhole: boolean) => void;
  adopt: (index: BundleIndex) => void;
  /** Refuses all that still waits: the box is stopping. */
  refuseWaiting: () => void;
}>;

type Waiting = { readonly handlers: PlacementHandlers; isPlaced: boolean };

/** Creates the dispatcher of a box. */
export const createDispatcher = (deps: {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}): Dispatcher => {
  const { clock, logger, metrics } = deps;
  const core = createDecisionCore({ random: deps.random });
  const requests = new Map<RequestId, Waiting>();

  const record = (decision: Decision) => {
    const { kind, ...rest } = decision;
    metrics.decisions.inc({ kind, reason: decision.reason });
    logger.info({ decision: kind, ...rest }, `decision: ${kind}`);
  };

  const apply = (decision: Decision) => {
    record(decision);
    const waiting = requests.get(decision.request);
    if (!waiting) return;
    switch (decision.kind) {
      case "placed":
        waiting.isPlaced = true;
        waiting.handlers.onPlaced(decision.server, decision.priority);
        return;
      case "refused":
        requests.delete(decision.request);
        waiting.handlers.onRefused({
          reason: decision.reason,
          retryAfter: decision.retryAfter,
        });
        return;
      case "waiting":
        waiting.isPlaced = false;
        return;
      default:
        assertNever(decision);
    }
  };

  const tell = (event: DecisionEvent) => {
    const decisions = core.handle(event, clock.monotonic());
    metrics.waiting.set(core.countWaiting());
    for (const decision of decisions) apply(decision);
  };

  const end = (request: RequestId, generatedTokens: number, isWhole: boolean) => {
    requests.delete(request);
    tell({ kind: "ended", request, generatedTokens, isWhole });
  };

  return {
    submit: (request, handlers) => {
      requests.set(request.id, { handlers, isPlaced: false });
      tell({ kind: "arrived", request });
    },
    tell,
    end,
    adopt: (index) => tell({ kind: "bundleAdopted", index }),
    refuseWaiting: () => {
      for (const [id, { handlers, isPlaced }] of [...requests]) {
        if (isPlaced) continue;
        end(id, 0, false);
        handlers.onRefused({ reason: "leaving", retryAfter: 0 as Ms });
      }
    },
  };
};
