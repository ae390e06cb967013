/** Starts a prepared generation. An at-most-once generation is claimed first. */
import type { ServerResponse } from "node:http";
import type { ClaimedCall, OnceKey } from "@stairgauge/claims";
import { assertNever } from "@stairgauge/common";
import { sendFailure } from "./apiError.js";
import { computeContentHash, sendKeptAnswer, toKeptAnswer } from "./keptAnswer.js";
import type { GenerationInterface } from "./parseGeneration.js";
import type { PreparedGeneration } from "./prepareGeneration.js";
import { createStreamedAnswer } from "./streamedAnswer.js";
import type { Answer, AnswerOver, EntryDeps } from "./types.js";
import { createWholeAnswer } from "./wholeAnswer.js";

/** A generation to start. */
export type AnswerStart = Readonly<{
  deps: EntryDeps;
  kind: GenerationInterface;
  response: ServerResponse;
  prepared: PreparedGeneration;
}>;

/** Records in the claim how the generation ended. */
const recordOver = (claimed: ClaimedCall, over: AnswerOver): Promise<void> => {
  switch (over.end) {
    case "whole": {
      if (over.body === undefined) return claimed.recordAnswer(undefined);
      const headers = { "content-type": "application/json" };
      const body = Buffer.from(over.body);
      return claimed.recordAnswer(toKeptAnswer({ status: 200, headers, body }));
    }
    case "failed":
      return claimed.recordFailure(over.outcome);
    case "left":
      return claimed.recordFailure("unknown");
    default:
      return assertNever(over);
  }
};

const createAnswer = (start: AnswerStart, onOver: (over: AnswerOver) => void): Answer => {
  const { deps, kind, response, prepared } = start;
  const { ask, call, continuation } = prepared;
  const shared = { deps, response, kind, onOver };
  if (!ask.isStreamed) return createWholeAnswer({ ...shared, model: ask.model });
  const isContinued = continuation !== undefined;
  return createStreamedAnswer({ ...shared, ask, workspace: call.workspace, isContinued });
};

const runAnswer = (start: AnswerStart, claimed: ClaimedCall | undefined): void => {
  const { deps, kind, response, prepared } = start;
  const { ask, call, caller, continuation } = prepared;
  const startedAt = deps.clock.monotonic();

  const handleOver = (over: AnswerOver) => {
    const { end } = over;
    const elapsedMs = Math.round(deps.clock.monotonic() - startedAt);
    deps.metrics.requests.inc({ interface: kind, end });
    const fields = { request: call.id, workspace: call.workspace, end, elapsedMs };
    deps.logger.info(fields, "answer ended");
    const remove = () => deps.answers.remove(answer);
    if (claimed) void recordOver(claimed, over).then(remove);
    else remove();
  };

  const answer = createAnswer(start, handleOver);
  deps.answers.add(answer);
  const run = deps.relay.run({
    call,
    index: caller.index,
    deliversAtOnce: ask.isStreamed,
    mayRunAgain: claimed === undefined,
    ...(continuation ? { continuation } : {}),
    sink: answer.sink,
  });
  answer.attach(run);
  if (response.destroyed) run.leave();
};

const claimAndRun = (start: AnswerStart, key: OnceKey): void => {
  const { deps, kind, response, prepared } = start;
  const { ask, call } = prepared;
  const content = JSON.stringify({
    ...ask,
    kind,
    model: call.model,
    adapter: call.adapter,
  });
  deps.onceGuard.claim(
    { key, contentHash: computeContentHash([content]) },
    {
      onSend: (claimed) => runAnswer(start, claimed),
      onReplay: (kept) => sendKeptAnswer(response, kept),
      onRefused: (reason, outcome) =>
        sendFailure(response, { kind: "once_refused", reason, outcome }, deps.metrics),
    },
  );
};

/** Starts the generation. A resumed one is not claimed again, as it was claimed when it began. */
export const startAnswer = (start: AnswerStart): void => {
  const { onceKey, continuation } = start.prepared;
  if (onceKey && !continuation) claimAndRun(start, onceKey);
  else runAnswer(start, undefined);
};
