/** Builds what is sent to a server: the client's head and body, with the headers that the box sets itself. */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { ForwarderDeps } from "./forwarderTypes.js";
import type { ExchangeRequest } from "./openExchange.js";
import type { DispatchTerms } from "./types.js";

/** What differs between the attempts of a request. */
export type AttemptTerms = Readonly<{
  server: BackendServer;
  demand: Demand;
  /** Where a started stream continues; undefined for an attempt from the beginning. */
  continuation?: DispatchTerms["continuation"];
}>;

/** Builds the request of one attempt, with the time left from now on. */
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
