/** Authenticates and validates a request for a generation. */
import {
  Err,
  Ok,
  type ModelName,
  type RequestId,
  type Result,
  type WorkspaceName,
} from "@stairgauge/common";
import { readJsonBody, type HttpExchange } from "@stairgauge/http";
import type { OnceKey } from "@stairgauge/claims";
import type { GenerationCall } from "@stairgauge/relay";
import { verifyResumeToken, type Continuation } from "@stairgauge/streams";
import { BOX_STOPPING, type ApiFailure } from "./apiError.js";
import { authenticate } from "./authenticate.js";
import { CHARACTERS_PER_TOKEN } from "./constants.js";
import {
  parseGeneration,
  type GenerationAsk,
  type GenerationInterface,
} from "./parseGeneration.js";
import { readOnceKey } from "./readOnceKey.js";
import { resolveModel, type ResolvedModel } from "./resolveModel.js";
import type { Caller, EntryDeps } from "./types.js";

/** An authenticated, validated request. */
export type PreparedGeneration = Readonly<{
  caller: Caller;
  ask: GenerationAsk;
  call: GenerationCall;
  /** Set if the caller resumes an earlier generation. */
  continuation: Continuation | undefined;
  /** Set if the generation must run at most once. */
  onceKey: OnceKey | undefined;
}>;

/** Limits the answer to the rest of the model's context; fails if the prompt leaves none. */
const buildCall = (
  ask: GenerationAsk,
  resolved: ResolvedModel,
  options: Readonly<{ id: RequestId; workspace: string }>,
): Result<GenerationCall, ApiFailure> => {
  const { model, adapter } = resolved;
  const promptTokens = Math.max(1, Math.ceil(ask.prompt.length / CHARACTERS_PER_TOKEN));
  const available = Math.min(model.maxOutputTokens, model.contextTokens - promptTokens);
  if (available < 1)
    return Err({ kind: "context_length_exceeded", limit: model.contextTokens });
  return Ok({
    id: options.id,
    workspace: options.workspace as WorkspaceName,
    model: model.name as ModelName,
    adapter,
    prompt: ask.prompt,
    promptTokens,
    maxTokens: Math.min(available, ask.maxTokens ?? available),
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

/** Authenticates and validates a request. If this fails, nothing of the request has run. */
export const prepareGeneration = async (
  kind: GenerationInterface,
  exchange: HttpExchange,
  deps: EntryDeps,
): Promise<Result<PreparedGeneration, ApiFailure>> => {
  if (!deps.answers.isOpen()) return Err(BOX_STOPPING);
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
  const onceKey = readOnceKey(exchange.request, workspace as WorkspaceName);
  if (onceKey.err) return onceKey;
  return Ok({
    caller: caller.val,
    ask: ask.val,
    call: call.val,
    continuation: continuation.val,
    onceKey: onceKey.val,
  });
};
