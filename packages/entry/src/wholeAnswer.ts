/** Collects a generation and sends it to its caller whole. */
import type { ServerResponse } from "node:http";
import { sendJson } from "@stairgauge/http";
import type { AnswerSink, RunHandle } from "@stairgauge/relay";
import { createAnswerFormat } from "./answerFormat.js";
import { sendFailure, type ApiFailure } from "./apiError.js";
import type { GenerationInterface } from "./parseGeneration.js";
import type { StreamedAnswer } from "./streamedAnswer.js";
import type { EntryDeps } from "./types.js";

/** What a whole answer needs. */
export type WholeAnswerOptions = Readonly<{
  deps: EntryDeps;
  response: ServerResponse;
  kind: GenerationInterface;
  /** Name of the model as the caller gave it. */
  model: string;
  onOver: (end: "whole" | "failed" | "left") => void;
}>;

/** Creates the answer; its size is bounded by the request's most tokens. */
export const createWholeAnswer = (options: WholeAnswerOptions): StreamedAnswer => {
  const { deps, response } = options;
  let texts: string[] = [];
  let run: RunHandle | undefined;
  let isOver = false;

  const finish = (end: "whole" | "failed" | "left") => {
    isOver = true;
    options.onOver(end);
  };
  const fail = (failure: ApiFailure) => {
    if (isOver) return;
    sendFailure(response, failure, deps.metrics);
    finish("failed");
  };
  response.on("close", () => {
    if (isOver) return;
    run?.leave();
    finish("left");
  });

  const sink: AnswerSink = {
    onToken: (_index, text) => {
      texts.push(text);
      return true;
    },
    onDiscard: () => {
      texts = [];
    },
    onEnd: (end, { generation }) => {
      const identity = { generation, model: options.model, createdAt: deps.clock.now() };
      const format = createAnswerFormat(options.kind, identity);
      sendJson(response, 200, format.renderWhole(texts.join(""), end));
      finish("whole");
    },
    onRefused: (refusal) => fail({ kind: "refused", refusal }),
    onFailed: (failure) => fail({ kind: "stream_failed", failure }),
  };

  return {
    sink,
    attach: (started) => {
      run = started;
    },
    sendAway: () => {
      if (isOver) return;
      run?.leave();
      fail({ kind: "resume_elsewhere" });
    },
  };
};
