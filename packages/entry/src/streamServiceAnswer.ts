/** Streams the answer of a plain service to the caller. */
import type { ServerResponse } from "node:http";
import { sendFailure } from "./apiError.js";
import { callService, type ServiceCallRequest } from "./callService.js";
import { registerServiceAnswer } from "./registerServiceAnswer.js";
import { copyHeaders } from "./serviceTarget.js";
import type { EntryDeps } from "./types.js";

/** Calls the service and streams the answer to the caller. */
export const streamServiceAnswer = (
  deps: EntryDeps,
  call: ServiceCallRequest,
  response: ServerResponse,
): void => {
  const { finish, isOver } = registerServiceAnswer(deps);
  const exchange = callService(deps, call, {
    onHead: (status, headers) =>
      response.writeHead(status, { ...copyHeaders(headers) } as never),
    onData: (chunk) => response.write(chunk),
    onEnd: () => {
      response.end();
      finish("whole");
    },
    onFailure: (failure, outcome) => {
      if (response.headersSent) response.destroy();
      else
        sendFailure(response, { kind: "service_failed", failure, outcome }, deps.metrics);
      finish("failed");
    },
  });
  response.on("drain", exchange.resume);
  response.on("close", () => {
    if (isOver()) return;
    exchange.close();
    finish("left");
  });
};
