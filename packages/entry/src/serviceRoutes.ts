/** `/services/NAME/…`: calls to plain services, routed over the bundle's backend servers. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { Service, ServiceRoute, ServiceServer } from "@stairgauge/bundle";
import { Err, Ok, type RequestId, type Result } from "@stairgauge/common";
import type { HttpExchange, HttpRoute } from "@stairgauge/http";
import { readBody } from "@stairgauge/http";
import { toOutcome, type LinkFailure } from "@stairgauge/outcomes";
import type { ServiceExchange } from "@stairgauge/services";
import { sendFailure, type ApiFailure } from "./apiError.js";
import { authenticate } from "./authenticate.js";
import { MAX_REPLAY_BYTES } from "./constants.js";
import type { Caller, EntryDeps, OpenAnswer } from "./types.js";

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;
const MAX_SERVICE_ATTEMPTS = 3;

/** Headers that belong to one connection, or to this system, and are not passed on. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const LEAVING = {
  kind: "refused",
  refusal: { reason: "leaving", retryAfter: 0 },
} as ApiFailure;

type Target = Readonly<{
  service: Service;
  route: ServiceRoute;
  servers: readonly ServiceServer[];
  /** Path and query on the server. */
  path: string;
}>;

const isMatch = (route: ServiceRoute, method: string, path: string): boolean => {
  if (route.method !== method) return false;
  return route.path.endsWith("*")
    ? path.startsWith(route.path.slice(0, -1))
    : route.path === path;
};

const findTarget = (
  { request, params }: HttpExchange,
  { workspace, index }: Caller,
): Result<Target, ApiFailure> => {
  const name = params["name"] ?? "";
  const service = index.services.get(name);
  if (!service || !workspace.services.includes(name)) {
    return Err({ kind: "unknown_service", service: name });
  }
  const url = request.url ?? "";
  const path = url.slice(`/services/${name}`.length) || "/";
  const [pathname = "/"] = path.split("?");
  const route = service.routes.find((one) =>
    isMatch(one, request.method ?? "", pathname),
  );
  if (!route) return Err({ kind: "unknown_route" });
  return Ok({ service, route, path, servers: index.serversByService.get(name) ?? [] });
};

const copyHeaders = (
  headers: IncomingHttpHeaders,
): Record<string, string | readonly string[]> =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || OWN_HEADERS.has(name) ? [] : [[name, value]],
    ),
  );

type Body = Readonly<{ kind: "replayable"; bytes: Buffer | null } | { kind: "streamed" }>;

/** Keeps a small body of known length, so that the call can be sent again; others are streamed. */
const takeBody = async (
  request: IncomingMessage,
  deps: EntryDeps,
): Promise<Result<Body, ApiFailure>> => {
  const length = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (!isChunked && Number(length ?? 0) === 0)
    return Ok({ kind: "replayable", bytes: null });
  if (isChunked || Number(length) > MAX_REPLAY_BYTES) return Ok({ kind: "streamed" });
  const bytes = await readBody(request, deps.bodyLimits, deps.clock);
  return bytes.err ? bytes : Ok({ kind: "replayable", bytes: bytes.val });
};

type Proxying = Readonly<{
  deps: EntryDeps;
  request: IncomingMessage;
  response: ServerResponse;
  target: Target;
  body: Body;
  id: RequestId;
  workspace: string;
}>;

const mayRepeat = (
  proxying: Proxying,
  failure: LinkFailure,
  attempts: number,
): boolean => {
  if (proxying.response.headersSent || attempts >= MAX_SERVICE_ATTEMPTS) return false;
  const isBodyKept = proxying.body.kind === "replayable";
  if (!isBodyKept) return false;
  return (
    proxying.target.route.repeatable === "always" || toOutcome(failure) === "not_run"
  );
};

/** Runs a call over one server after another until one answers or none may be tried. */
const proxyCall = (proxying: Proxying): void => {
  const { deps, request, response, target, body } = proxying;
  const { clock, serviceRouter } = deps;
  const tried = new Set<string>();
  let exchange: ServiceExchange | undefined;
  let busyServer: ServiceServer | undefined;
  let isOver = false;

  const releaseServer = () => {
    if (busyServer) serviceRouter.recordEnd(busyServer.name);
    busyServer = undefined;
  };
  const answer: OpenAnswer = { sendAway: () => undefined };
  const finish = (end: "whole" | "failed" | "left") => {
    if (isOver) return;
    isOver = true;
    deps.answers.remove(answer);
    deps.metrics.requests.inc({ interface: "service", end });
  };
  const fail = (failure: ApiFailure) => {
    if (response.headersSent) response.destroy();
    else sendFailure(response, failure, deps.metrics);
    finish("failed");
  };

  const attempt = (last: LinkFailure | undefined) => {
    const choice = serviceRouter.choose(target.servers, tried, clock.monotonic());
    if (choice.kind === "none_left") {
      fail(
        last ? { kind: "service_failed", failure: last } : { kind: "no_service_server" },
      );
      return;
    }
    const { server, reason, outstanding } = choice;
    deps.metrics.decisions.inc({ kind: "routed", reason });
    deps.logger.info(
      {
        decision: "routed",
        request: proxying.id,
        workspace: proxying.workspace,
        service: target.service.name,
        server: server.name,
        reason,
        outstanding,
        attempt: tried.size + 1,
      },
      "decision: routed",
    );
    tried.add(server.name);
    callServer(server);
  };

  const callServer = (server: ServiceServer) => {
    busyServer = server;
    serviceRouter.recordStart(server.name);
    exchange = deps.services.open(
      {
        address: server.address,
        method: request.method ?? "GET",
        path: target.path,
        headers: copyHeaders(request.headers),
        body: body.kind === "streamed" ? request : body.bytes,
      },
      {
        onHead: (status, headers) =>
          response.writeHead(status, copyHeaders(headers) as never),
        onData: (chunk) => response.write(chunk),
        onEnd: () => {
          releaseServer();
          response.end();
          finish("whole");
        },
        onFailure: (failure) => {
          releaseServer();
          serviceRouter.recordFailure(server.name, clock.monotonic());
          if (mayRepeat(proxying, failure, tried.size)) attempt(failure);
          else fail({ kind: "service_failed", failure });
        },
      },
    );
  };

  deps.answers.add(answer);
  response.on("drain", () => exchange?.resume());
  response.on("close", () => {
    if (isOver) return;
    exchange?.close();
    releaseServer();
    finish("left");
  });
  attempt(undefined);
};

/** Routes to plain services. */
export const createServiceRoutes = (deps: EntryDeps): readonly HttpRoute[] => {
  const handle = async (exchange: HttpExchange): Promise<void> => {
    const { request, response } = exchange;
    const fail = (failure: ApiFailure) => sendFailure(response, failure, deps.metrics);
    if (!deps.answers.isOpen()) return fail(LEAVING);
    const caller = authenticate(request, deps);
    if (caller.err) return fail(caller.val);
    const target = findTarget(exchange, caller.val);
    if (target.err) return fail(target.val);
    const body = await takeBody(request, deps);
    if (body.err) return fail(body.val);
    const id = deps.random.nextId() as RequestId;
    const workspace = caller.val.workspace.name;
    proxyCall({
      deps,
      request,
      response,
      target: target.val,
      body: body.val,
      id,
      workspace,
    });
  };
  return METHODS.flatMap((method) => [
    { method, path: "/services/:name", handle },
    { method, path: "/services/:name/*", handle },
  ]);
};
