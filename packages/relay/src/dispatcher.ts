/** Passes events to the decision core, and logs and applies its decisions. */
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

/** Receives the decisions about one request. */
export type PlacementHandlers = Readonly<{
  onPlaced: (server: BackendServerName, priority: number) => void;
  onRefused: (refusal: PlacementRefusal) => void;
}>;

/** Places, queues or refuses all generation requests of the box. */
export type Dispatcher = Readonly<{
  /** Submits a new request. The handlers may be called before this returns. */
  submit: (request: GenerationRequest, handlers: PlacementHandlers) => void;
  /** Passes any other event to the decision core, such as a load report or a failed attempt. */
  handle: (event: Exclude<DecisionEvent, { kind: "arrived" | "ended" }>) => void;
  /** Ends a request: answered whole (`isWhole`), failed, or cancelled by its caller. */
  end: (request: RequestId, generatedTokens: number, isWhole: boolean) => void;
  /** Applies a new bundle. */
  adopt: (index: BundleIndex) => void;
  /** Refuses all waiting requests, because the box is stopping. */
  refuseWaiting: () => void;
}>;

type OpenRequest = { readonly handlers: PlacementHandlers; isPlaced: boolean };

/** Creates the dispatcher of a box. */
export const createDispatcher = (deps: {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}): Dispatcher => {
  const { clock, logger, metrics } = deps;
  const core = createDecisionCore({ random: deps.random });
  const requests = new Map<RequestId, OpenRequest>();

  const record = (decision: Decision) => {
    const { kind, ...rest } = decision;
    metrics.decisions.inc({ kind, reason: decision.reason });
    logger.info({ decision: kind, ...rest }, `decision: ${kind}`);
  };

  const apply = (decision: Decision) => {
    record(decision);
    const request = requests.get(decision.request);
    if (!request) return;
    switch (decision.kind) {
      case "placed":
        request.isPlaced = true;
        request.handlers.onPlaced(decision.server, decision.priority);
        return;
      case "refused":
        requests.delete(decision.request);
        request.handlers.onRefused({
          reason: decision.reason,
          retryAfter: decision.retryAfter,
        });
        return;
      case "waiting":
        request.isPlaced = false;
        return;
      default:
        assertNever(decision);
    }
  };

  const handle = (event: DecisionEvent) => {
    const decisions = core.handle(event, clock.monotonic());
    metrics.waiting.set(core.countWaiting());
    for (const decision of decisions) apply(decision);
  };

  const end = (request: RequestId, generatedTokens: number, isWhole: boolean) => {
    requests.delete(request);
    handle({ kind: "ended", request, generatedTokens, isWhole });
  };

  return {
    submit: (request, handlers) => {
      requests.set(request.id, { handlers, isPlaced: false });
      handle({ kind: "arrived", request });
    },
    handle,
    end,
    adopt: (index) => handle({ kind: "bundleAdopted", index }),
    refuseWaiting: () => {
      for (const [id, { handlers, isPlaced }] of [...requests]) {
        if (isPlaced) continue;
        end(id, 0, false);
        handlers.onRefused({ reason: "leaving", retryAfter: 0 as Ms });
      }
    },
  };
};
