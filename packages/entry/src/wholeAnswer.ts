/** Collects the tokens of a generation and sends them to the caller in one response. */
import type { ServerResponse } from "node:http";
import { sendJson } from "@stairgauge/http";
import type { AnswerSink } from "@stairgauge/relay";
import { createAnswerControl } from "./answerControl.js";
import { createAnswerFormat } from "./answerFormat.js";
import { sendFailure, type ApiFailure } from "./apiError.js";
import type { GenerationInterface } from "./parseGeneration.js";
import type { Answer, AnswerOver, EntryDeps } from "./types.js";

/** Options of a whole answer. */
export type WholeAnswerOptions = Readonly<{
  deps: EntryDeps;
  response: ServerResponse;
  kind: GenerationInterface;
  /** Name of the model as the caller gave it. */
  model: string;
  /** Called once when the answer is over. */
  onOver: (over: AnswerOver) => void;
}>;

/** Creates the answer. Its memory is bounded by the request's max tokens. */
export const createWholeAnswer = (options: WholeAnswerOptions): Answer => {
  const { deps, response } = options;
  let texts: string[] = [];
  let isOver = false;

  const finish = (over: AnswerOver) => {
    isOver = true;
    options.onOver(over);
  };
  const fail = (failure: ApiFailure) => {
    if (isOver) return;
    const { outcome } = sendFailure(response, failure, deps.metrics);
    finish({ end: "failed", outcome });
  };
  const control = createAnswerControl({ isOver: () => isOver, fail });
  response.on("close", () => {
    if (isOver) return;
    control.leave();
    finish({ end: "left" });
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
      const whole = format.renderWhole(texts.join(""), end);
      sendJson(response, 200, whole);
      finish({ end: "whole", body: JSON.stringify(whole) });
    },
    onRefused: (refusal) => fail({ kind: "refused", refusal }),
    onFailed: (failure) => fail({ kind: "stream_failed", failure }),
  };

  return { sink, attach: control.attach, endForResume: control.endForResume };
};
