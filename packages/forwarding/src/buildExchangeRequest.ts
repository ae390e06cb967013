/** What a server is sent for a request: the client's own head and body, with what only the system may set. */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import type { AdmittedRequest, ForwarderDeps } from "./forwarderTypes.js";
import type { ExchangeRequest } from "./openExchange.js";
import type { DispatchTerms } from "./types.js";

/** What differs from attempt to attempt. */
export type AttemptTerms = Readonly<{
  server: BackendServer;
  demand: Demand;
  /** Where the attempt goes on; nowhere for a first one. */
  continuation?: DispatchTerms["continuation"];
}>;

/** Builds the request for one attempt; the time left is counted from now. */
export const buildExchangeRequest = (
  { codec, connectLimit }: Pick<ForwarderDeps, "codec" | "connectLimit">,
  clock: Clock,
  request: AdmittedRequest,
  { server, demand, continuation }: AttemptTerms,
): ExchangeRequest => {
  const { head, body, workspace, endsAt } = request;
  const hasBody = body.length > 0 || head.contentLength !== undefined;
  const headers = codec.encodeDispatch(head, {
    server: server.entry.name,
    timeLeft: Math.max(0, endsAt - clock.monotonic()) as Ms,
    workspace: workspace?.name,
    bodyLength: hasBody ? body.length : undefined,
    enginePriority: demand.tokens && demand.tier,
    continuation,
  });
  const { address } = server.entry;
  const { method, target } = head;
  return { address, method, target, headers, body, connectLimit };
};
