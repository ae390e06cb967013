/** `/v1/chat/completions` and `/v1/completions`. */
import {
  Err,
  Ok,
  type ModelName,
  type RequestId,
  type Result,
  type WorkspaceName,
} from "@stairgauge/common";
import { readJsonBody, type HttpExchange, type HttpRoute } from "@stairgauge/http";
import type { GenerationCall } from "@stairgauge/relay";
import { verifyResumeToken, type Continuation } from "@stairgauge/streams";
import { sendFailure, type ApiFailure } from "./apiError.js";
import { authenticate } from "./authenticate.js";
import { CHARACTERS_PER_TOKEN } from "./constants.js";
import {
  parseGeneration,
  type GenerationAsk,
  type GenerationInterface,
} from "./parseGeneration.js";
import { resolveModel, type ResolvedModel } from "./resolveModel.js";
import { createStreamedAnswer, type StreamedAnswer } from "./streamedAnswer.js";
import type { Caller, EntryDeps } from "./types.js";
import { createWholeAnswer } from "./wholeAnswer.js";

const LEAVING = {
  kind: "refused",
  refusal: { reason: "leaving", retryAfter: 0 },
} as ApiFailure;

type Prepared = Readonly<{
  caller: Caller;
  ask: GenerationAsk;
  call: GenerationCall;
  continuation: Continuation | undefined;
}>;

/** Fits prompt and answer into the model's context. */
const buildCall = (
  ask: GenerationAsk,
  resolved: ResolvedModel,
  options: Readonly<{ id: RequestId; workspace: string }>,
): Result<GenerationCall, ApiFailure> => {
  const { model, adapter } = resolved;
  const promptTokens = Math.max(1, Math.ceil(ask.prompt.length / CHARACTERS_PER_TOKEN));
  const room = Math.min(model.maxOutputTokens, model.contextTokens - promptTokens);
  if (room < 1)
    return Err({ kind: "context_length_exceeded", limit: model.contextTokens });
  return Ok({
    id: options.id,
    workspace: options.workspace as WorkspaceName,
    model: model.name as ModelName,
    adapter,
    prompt: ask.prompt,
    promptTokens,
    maxTokens: Math.min(room, ask.maxTokens ?? room),
    stop: ask.stop,
    temperature: ask.temperature,
  });
};

const readContinuation = (
  exchange: HttpExchange,
  deps: EntryDeps,
  workspace: string,
): Result<Continuation | undefined, ApiFailure> => {
  const token = exchange.request.headers["last-event-id"];
  if (typeof token !== "string" || token === "") return Ok(undefined);
  const verified = verifyResumeToken({
    token,
    keys: deps.resumeKeys,
    workspace: workspace as WorkspaceName,
    now: deps.clock.now(),
  });
  if (verified.err) return verified;
  const { claim, nextIndex } = verified.val;
  return Ok({ server: claim.server, generation: claim.generation, nextIndex });
};

const prepare = async (
  kind: GenerationInterface,
  exchange: HttpExchange,
  deps: EntryDeps,
): Promise<Result<Prepared, ApiFailure>> => {
  if (!deps.answers.isOpen()) return Err(LEAVING);
  const caller = authenticate(exchange.request, deps);
  if (caller.err) return caller;
  const body = await readJsonBody(exchange.request, deps.bodyLimits, deps.clock);
  if (body.err) return body;
  const ask = parseGeneration(kind, body.val);
  if (ask.err) return ask;
  const resolved = resolveModel(ask.val.model, caller.val);
  if (resolved.err) return resolved;
  const workspace = caller.val.workspace.name;
  const id = deps.random.nextId() as RequestId;
  const call = buildCall(ask.val, resolved.val, { id, workspace });
  if (call.err) return call;
  const continuation = readContinuation(exchange, deps, workspace);
  if (continuation.err) return continuation;
  return Ok({
    caller: caller.val,
    ask: ask.val,
    call: call.val,
    continuation: continuation.val,
  });
};

const startAnswer = (
  kind: GenerationInterface,
  { response }: HttpExchange,
  deps: EntryDeps,
  prepared: Prepared,
): void => {
  const { ask, call, caller, continuation } = prepared;
  const startedAt = deps.clock.monotonic();
  const handleOver = (end: "whole" | "failed" | "left") => {
    deps.answers.remove(answer);
    deps.metrics.requests.inc({ interface: kind, end });
    const elapsedMs = Math.round(deps.clock.monotonic() - startedAt);
    deps.logger.info(
      { request: call.id, workspace: call.workspace, end, elapsedMs },
      "answer over",
    );
  };
  const shared = { deps, response, kind, onOver: handleOver };
  const answer: StreamedAnswer = ask.isStreamed
    ? createStreamedAnswer({
        ...shared,
        ask,
        workspace: call.workspace,
        isContinued: continuation !== undefined,
      })
    : createWholeAnswer({ ...shared, model: ask.model });
  deps.answers.add(answer);
  const run = deps.relay.run({
    call,
    index: caller.index,
    deliversAtOnce: ask.isStreamed,
    ...(continuation ? { continuation } : {}),
    sink: answer.sink,
  });
  answer.attach(run);
  if (response.destroyed) run.leave();
};

const createHandler =
  (kind: GenerationInterface, deps: EntryDeps) =>
  async (exchange: HttpExchange): Promise<void> => {
    const prepared = await prepare(kind, exchange, deps);
    if (prepared.err) {
      sendFailure(exchange.response, prepared.val, deps.metrics);
      deps.metrics.requests.inc({ interface: kind, end: "failed" });
      return;
    }
    startAnswer(kind, exchange, deps, prepared.val);
  };

/** Routes that generate. */
export const createGenerationRoutes = (deps: EntryDeps): readonly HttpRoute[] => [
  { method: "POST", path: "/v1/chat/completions", handle: createHandler("chat", deps) },
  { method: "POST", path: "/v1/completions", handle: createHandler("completion", deps) },
];
