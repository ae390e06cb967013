/** The routes under `/services/NAME`, which pass calls to the backend servers of plain services. */
import type { IncomingMessage } from "node:http";
import {
  Err,
  Ok,
  type RequestId,
  type Result,
  type WorkspaceName,
} from "@stairgauge/common";
import { readBody, type HttpExchange, type HttpRoute } from "@stairgauge/http";
import { BOX_STOPPING, sendFailure, type ApiFailure } from "./apiError.js";
import { authenticate } from "./authenticate.js";
import type { ServiceBody } from "./callService.js";
import { MAX_REPLAY_BYTES } from "./constants.js";
import { computeContentHash } from "./keptAnswer.js";
import { readOnceKey } from "./readOnceKey.js";
import { runOnceService } from "./runOnceService.js";
import { findServiceTarget, type ServiceTarget } from "./serviceTarget.js";
import { streamServiceAnswer } from "./streamServiceAnswer.js";
import type { Caller, EntryDeps } from "./types.js";

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

/** Buffers a small body of known length, so that a retry can send it again; streams any other body. */
const prepareBody = async (
  request: IncomingMessage,
  deps: EntryDeps,
): Promise<Result<ServiceBody, ApiFailure>> => {
  const length = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (!isChunked && Number(length ?? 0) === 0)
    return Ok({ kind: "replayable", bytes: null });
  if (isChunked || Number(length) > MAX_REPLAY_BYTES) {
    return Ok({ kind: "streamed", stream: request });
  }
  const bytes = await readBody(request, deps.bodyLimits, deps.clock);
  return bytes.err ? bytes : Ok({ kind: "replayable", bytes: bytes.val });
};

/** An authenticated call and its target. */
type Prepared = Readonly<{ caller: Caller; target: ServiceTarget }>;

const prepare = (
  exchange: HttpExchange,
  deps: EntryDeps,
): Result<Prepared, ApiFailure> => {
  if (!deps.answers.isOpen()) return Err(BOX_STOPPING);
  const caller = authenticate(exchange.request, deps);
  if (caller.err) return caller;
  const target = findServiceTarget(exchange, caller.val);
  return target.err ? target : Ok({ caller: caller.val, target: target.val });
};

/** Starts an at-most-once call after its key and its whole body are read; returns why it cannot. */
const startOnce = async (
  { request, response }: HttpExchange,
  deps: EntryDeps,
  { caller, target }: Prepared,
): Promise<ApiFailure | undefined> => {
  const workspace = caller.workspace.name as WorkspaceName;
  const key = readOnceKey(request, workspace);
  if (key.err) return key.val;
  if (!key.val) return { kind: "idempotency_key_needed" };
  const bytes = await readBody(request, deps.bodyLimits, deps.clock);
  if (bytes.err) return bytes.val;
  const { service, method, path } = target;
  const contentHash = computeContentHash([service.name, method, path, bytes.val]);
  const id = deps.random.nextId() as RequestId;
  const body: ServiceBody = { kind: "replayable", bytes: bytes.val };
  const call = { id, workspace, target, body };
  runOnceService(deps, { call, key: key.val, contentHash }, response);
  return undefined;
};

/** Starts a call that may be retried; returns why it cannot. */
const startRepeatable = async (
  { request, response }: HttpExchange,
  deps: EntryDeps,
  { caller, target }: Prepared,
): Promise<ApiFailure | undefined> => {
  const body = await prepareBody(request, deps);
  if (body.err) return body.val;
  const id = deps.random.nextId() as RequestId;
  const workspace = caller.workspace.name;
  streamServiceAnswer(deps, { id, workspace, target, body: body.val }, response);
  return undefined;
};

/** Creates the routes to plain services. */
export const createServiceRoutes = (deps: EntryDeps): readonly HttpRoute[] => {
  const handle = async (exchange: HttpExchange): Promise<void> => {
    const prepared = prepare(exchange, deps);
    const isOnce = prepared.ok && prepared.val.target.route.repeatable === "once";
    const start = isOnce ? startOnce : startRepeatable;
    const failure = prepared.err
      ? prepared.val
      : await start(exchange, deps, prepared.val);
    if (failure) sendFailure(exchange.response, failure, deps.metrics);
  };
  return METHODS.flatMap((method) => [
    { method, path: "/services/:name", handle },
    { method, path: "/services/:name/*", handle },
  ]);
};
