/** Sends a call to a plain service; retries on other servers of the service where that is allowed. */
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { ServiceServer } from "@stairgauge/bundle";
import type { RequestId } from "@stairgauge/common";
import {
  combineOutcomes,
  toOutcome,
  type LinkFailure,
  type Outcome,
} from "@stairgauge/outcomes";
import type { ServiceExchange } from "@stairgauge/services";
import type { ServiceTarget } from "./serviceTarget.js";
import type { EntryDeps } from "./types.js";

const MAX_SERVICE_ATTEMPTS = 3;
const REFUSED_STATUS = 503;

/** Response header: `not_run` if the server refused the call and ran no part of it. */
const OUTCOME_HEADER = "stairgauge-outcome";

/** Response header: `true` if the server is leaving. */
const LEAVING_HEADER = "stairgauge-leaving";

/** A request body: buffered, so that a retry can send it again, or streamed, which works only once. */
export type ServiceBody = Readonly<
  { kind: "replayable"; bytes: Buffer | null } | { kind: "streamed"; stream: Readable }
>;

/** Receives an answer. Exactly one of `onEnd` and `onFailure` is called, as the last. */
export type ServiceAnswerSink = Readonly<{
  onHead: (status: number, headers: IncomingHttpHeaders) => void;
  /** Receives bytes; returning false asks to stop reading until `resume`. */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  /**
   * `failure` is that of the last attempt; undefined if no server could be tried. `outcome` combines
   * all attempts.
   */
  onFailure: (failure: LinkFailure | undefined, outcome: Outcome) => void;
}>;

/** A call to a plain service. */
export type ServiceCallRequest = Readonly<{
  id: RequestId;
  workspace: string;
  target: ServiceTarget;
  body: ServiceBody;
}>;

const readRefusal = (
  status: number,
  headers: IncomingHttpHeaders,
): Extract<LinkFailure, { kind: "refused" }> | undefined => {
  const ranNothing = headers[OUTCOME_HEADER] === "not_run";
  if (status !== REFUSED_STATUS || !ranNothing) return undefined;
  return {
    kind: "refused",
    status,
    ranNothing,
    isLeaving: headers[LEAVING_HEADER] === "true",
  };
};

/** Starts the call. The sink may be called before this returns. */
export const callService = (
  deps: EntryDeps,
  call: ServiceCallRequest,
  sink: ServiceAnswerSink,
): ServiceExchange => {
  const { target, body } = call;
  const { clock, serviceRouter } = deps;
  const tried = new Set<string>();
  const outcomes: Outcome[] = [];
  let exchange: ServiceExchange | undefined;
  let busyServer: ServiceServer | undefined;
  let hasHead = false;

  const releaseServer = () => {
    if (busyServer) serviceRouter.recordEnd(busyServer.name);
    busyServer = undefined;
  };

  const mayRepeat = (failure: LinkFailure): boolean => {
    if (hasHead || tried.size >= MAX_SERVICE_ATTEMPTS || body.kind === "streamed")
      return false;
    return target.route.repeatable === "always" || toOutcome(failure) === "not_run";
  };

  const handleFailure = (server: ServiceServer, failure: LinkFailure) => {
    releaseServer();
    outcomes.push(hasHead ? "unknown" : toOutcome(failure));
    if (failure.kind === "refused" && failure.isLeaving) {
      serviceRouter.markLeaving(server.name, true);
    } else {
      serviceRouter.recordFailure(server.name, clock.monotonic());
    }
    if (mayRepeat(failure)) attempt(failure);
    else sink.onFailure(failure, combineOutcomes(outcomes));
  };

  const attempt = (lastFailure: LinkFailure | undefined) => {
    const choice = serviceRouter.choose(target.servers, tried, clock.monotonic());
    if (choice.kind === "none_left") {
      sink.onFailure(lastFailure, combineOutcomes(outcomes));
      return;
    }
    const { server, reason, outstanding } = choice;
    tried.add(server.name);
    deps.metrics.decisions.inc({ kind: "routed", reason });
    deps.logger.info(
      {
        decision: "routed",
        request: call.id,
        workspace: call.workspace,
        service: target.service.name,
        server: server.name,
        reason,
        outstanding,
        attempt: tried.size,
      },
      "decision: routed",
    );
    openServer(server);
  };

  const openServer = (server: ServiceServer) => {
    busyServer = server;
    serviceRouter.recordStart(server.name);
    const { address } = server;
    const { method, path, headers } = target;
    const bytes = body.kind === "streamed" ? body.stream : body.bytes;
    const opened = deps.services.open(
      { address, method, path, headers, body: bytes },
      {
        onHead: (status, answerHeaders) => {
          const refusal = readRefusal(status, answerHeaders);
          if (refusal) {
            opened.close();
            handleFailure(server, refusal);
            return;
          }
          hasHead = true;
          sink.onHead(status, answerHeaders);
        },
        onData: sink.onData,
        onEnd: () => {
          releaseServer();
          sink.onEnd();
        },
        onFailure: (failure) => handleFailure(server, failure),
      },
    );
    exchange = opened;
  };

  attempt(undefined);
  return {
    resume: () => exchange?.resume(),
    close: () => {
      exchange?.close();
      releaseServer();
    },
  };
};
