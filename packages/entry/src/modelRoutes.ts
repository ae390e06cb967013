/** The routes under `/v1/models`, which list what the caller's workspace may use. */
import { sendJson, type HttpExchange, type HttpRoute } from "@stairgauge/http";
import { sendFailure } from "./apiError.js";
import { authenticate } from "./authenticate.js";
import { listModelNames } from "./resolveModel.js";
import type { EntryDeps } from "./types.js";

const renderModel = (id: string) => ({
  id,
  object: "model",
  created: 0,
  owned_by: "stairgauge",
});

/** Creates the routes that list models. */
export const createModelRoutes = (deps: EntryDeps): readonly HttpRoute[] => {
  const handleList = ({ request, response }: HttpExchange) => {
    const caller = authenticate(request, deps);
    if (caller.err) {
      sendFailure(response, caller.val, deps.metrics);
      return;
    }
    const data = listModelNames(caller.val).map(renderModel);
    sendJson(response, 200, { object: "list", data });
  };
  const handleOne = ({ request, response, params }: HttpExchange) => {
    const caller = authenticate(request, deps);
    const model = params["model"] ?? "";
    if (caller.err) sendFailure(response, caller.val, deps.metrics);
    else if (listModelNames(caller.val).includes(model))
      sendJson(response, 200, renderModel(model));
    else sendFailure(response, { kind: "unknown_model", model }, deps.metrics);
  };
  return [
    { method: "GET", path: "/v1/models", handle: handleList },
    { method: "GET", path: "/v1/models/:model", handle: handleOne },
  ];
};
