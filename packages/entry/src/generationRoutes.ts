/** The routes `/v1/chat/completions` and `/v1/completions`. */
import type { HttpExchange, HttpRoute } from "@stairgauge/http";
import { sendFailure } from "./apiError.js";
import type { GenerationInterface } from "./parseGeneration.js";
import { prepareGeneration } from "./prepareGeneration.js";
import { startAnswer } from "./startAnswer.js";
import type { EntryDeps } from "./types.js";

const createHandler =
  (kind: GenerationInterface, deps: EntryDeps) =>
  async (exchange: HttpExchange): Promise<void> => {
    const prepared = await prepareGeneration(kind, exchange, deps);
    if (prepared.err) {
      sendFailure(exchange.response, prepared.val, deps.metrics);
      deps.metrics.requests.inc({ interface: kind, end: "failed" });
      return;
    }
    startAnswer({ deps, kind, response: exchange.response, prepared: prepared.val });
  };

/** Creates the routes that run generations. */
export const createGenerationRoutes = (deps: EntryDeps): readonly HttpRoute[] => [
  { method: "POST", path: "/v1/chat/completions", handle: createHandler("chat", deps) },
  { method: "POST", path: "/v1/completions", handle: createHandler("completion", deps) },
];
