/** Sends a generation to its caller as server-sent events, each with a resume token. */
import type { ServerResponse } from "node:http";
import type { Ms, Timer, WorkspaceName } from "@stairgauge/common";
import type { AnswerSink, TokenSource } from "@stairgauge/relay";
import { formatResumeToken, signResumeClaim } from "@stairgauge/streams";
import { createAnswerControl } from "./answerControl.js";
import { createAnswerFormat, type AnswerFormat } from "./answerFormat.js";
import {
  describeFailure,
  renderErrorBody,
  sendFailure,
  type ApiError,
  type ApiFailure,
} from "./apiError.js";
import {
  MAX_UNSENT_BYTES,
  READER_IDLE_MS,
  RESUME_TOKEN_LIFE_MS,
  RESUME_TOKEN_RENEW_MS,
} from "./constants.js";
import type { GenerationAsk, GenerationInterface } from "./parseGeneration.js";
import type { Answer, AnswerOver, EntryDeps } from "./types.js";

const SSE_HEADERS = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache",
  "x-accel-buffering": "no",
};
const DONE = "data: [DONE]\n\n";

/** Options of a streamed answer. */
export type StreamedAnswerOptions = Readonly<{
  deps: EntryDeps;
  response: ServerResponse;
  kind: GenerationInterface;
  ask: GenerationAsk;
  workspace: WorkspaceName;
  /** Whether the caller resumes an earlier answer; the opening event is then left out. */
  isContinued: boolean;
  /** Called once when the answer is over. */
  onOver: (over: AnswerOver) => void;
}>;

/** State of a stream that has begun. */
type OpenSource = Readonly<{
  format: AnswerFormat;
  /** The signed part of the resume tokens. */
  signedClaim: string;
  /** When `signedClaim` is signed again, on the monotonic clock. */
  renewAt: number;
}>;

/** Creates the answer; nothing is sent before the first token, the end or a failure. */
export const createStreamedAnswer = (options: StreamedAnswerOptions): Answer => {
  const { deps, response, ask } = options;
  const { clock, metrics } = deps;
  let open: OpenSource | undefined;
  let isOver = false;
  let isBlocked = false;
  let idleTimer: Timer | undefined;

  const finish = (over: AnswerOver) => {
    if (isOver) return;
    isOver = true;
    idleTimer?.cancel();
    options.onOver(over);
  };

  const signSource = (source: TokenSource): string => {
    const [key] = deps.resumeKeys;
    if (!key) throw new TypeError("the settings must contain at least one resume key");
    const expiresAt = (clock.now() + RESUME_TOKEN_LIFE_MS) as Ms;
    return signResumeClaim(key, { ...source, workspace: options.workspace, expiresAt });
  };

  const openSource = (source: TokenSource): OpenSource => {
    const { generation } = source;
    const format =
      open?.format ??
      createAnswerFormat(options.kind, {
        generation,
        model: ask.model,
        createdAt: clock.now(),
      });
    const renewAt = clock.monotonic() + RESUME_TOKEN_RENEW_MS;
    return { format, signedClaim: signSource(source), renewAt };
  };

  const sendHead = (format: AnswerFormat) => {
    response.writeHead(200, SSE_HEADERS);
    const opening = options.isContinued ? undefined : format.renderOpening();
    if (opening !== undefined) response.write(`data: ${opening}\n\n`);
  };

  const getOpen = (source: TokenSource): OpenSource => {
    if (open && clock.monotonic() < open.renewAt) return open;
    const isFirst = open === undefined;
    open = openSource(source);
    if (isFirst) sendHead(open.format);
    return open;
  };

  /** Sends the failure as the last event of the stream. */
  const endWithError = (failure: ApiFailure): ApiError => {
    const error = describeFailure(failure);
    metrics.refusals.inc({ code: error.code });
    response.end(`data: ${JSON.stringify(renderErrorBody(error))}\n\n`);
    return error;
  };
  const fail = (failure: ApiFailure) => {
    if (isOver) return;
    const { outcome } = response.headersSent
      ? endWithError(failure)
      : sendFailure(response, failure, metrics);
    finish({ end: "failed", outcome });
  };

  const control = createAnswerControl({ isOver: () => isOver, fail });

  const startIdleTimer = () => {
    isBlocked = true;
    idleTimer ??= clock.setTimer(READER_IDLE_MS, () => response.destroy());
  };
  const handleDrain = () => {
    if (!isBlocked) return;
    isBlocked = false;
    idleTimer?.cancel();
    idleTimer = undefined;
    control.setBlocked(false);
  };
  response.on("drain", handleDrain);
  response.on("close", () => {
    if (isOver) return;
    control.leave();
    finish({ end: "left" });
  });

  const sink: AnswerSink = {
    onToken: (index, text, source) => {
      const { format, signedClaim } = getOpen(source);
      const id = formatResumeToken(signedClaim, index + 1);
      const isWritable = response.write(
        `id: ${id}\ndata: ${format.renderToken(text)}\n\n`,
      );
      if (isWritable || response.writableLength < MAX_UNSENT_BYTES) return true;
      startIdleTimer();
      return false;
    },
    onDiscard: () => undefined,
    onEnd: (end, source) => {
      const { format } = getOpen(source);
      const usage = ask.includesUsage ? `data: ${format.renderUsage(end)}\n\n` : "";
      response.end(`data: ${format.renderFinish(end)}\n\n${usage}${DONE}`);
      finish({ end: "whole", body: undefined });
    },
    onRefused: (refusal) => fail({ kind: "refused", refusal }),
    onFailed: (failure) => fail({ kind: "stream_failed", failure }),
  };

  return { sink, attach: control.attach, endForResume: control.endForResume };
};
