/** Renders answers in the callers' format. What repeats for each token is rendered once. */
import type { StreamEnd } from "@stairgauge/streams";
import type { GenerationInterface } from "./parseGeneration.js";

const MS_PER_SECOND = 1_000;

/** Identity of an answer. */
export type AnswerIdentity = Readonly<{
  generation: string;
  model: string;
  createdAt: number;
}>;

/** Renders one answer. */
export type AnswerFormat = Readonly<{
  /** Data of a streamed answer's first event, if it has one before the first token. */
  renderOpening: () => string | undefined;
  renderToken: (text: string) => string;
  renderFinish: (end: StreamEnd) => string;
  renderUsage: (end: StreamEnd) => string;
  /** A whole answer. */
  renderWhole: (text: string, end: StreamEnd) => unknown;
}>;

const renderUsageCounts = (end: StreamEnd) => ({
  prompt_tokens: end.promptTokens,
  completion_tokens: end.tokens,
  total_tokens: end.promptTokens + end.tokens,
});

type Shape = Readonly<{
  idPrefix: string;
  wholeObject: string;
  chunkObject: string;
  toChunkChoice: (text: string | undefined) => object;
  toWholeChoice: (text: string) => object;
  opening: object | undefined;
}>;

const SHAPES = {
  chat: {
    idPrefix: "chatcmpl-",
    wholeObject: "chat.completion",
    chunkObject: "chat.completion.chunk",
    toChunkChoice: (text) => ({ delta: text === undefined ? {} : { content: text } }),
    toWholeChoice: (text) => ({
      message: { role: "assistant", content: text, refusal: null },
    }),
    opening: { delta: { role: "assistant", content: "" } },
  },
  completion: {
    idPrefix: "cmpl-",
    wholeObject: "text_completion",
    chunkObject: "text_completion",
    toChunkChoice: (text) => ({ text: text ?? "" }),
    toWholeChoice: (text) => ({ text }),
    opening: undefined,
  },
} as const satisfies Record<GenerationInterface, Shape>;

/** Stands in for the text while the frame around it is rendered. */
const TEXT_MARK = "\u0000text\u0000";

/** Creates the format of one answer. */
export const createAnswerFormat = (
  kind: GenerationInterface,
  identity: AnswerIdentity,
): AnswerFormat => {
  const shape: Shape = SHAPES[kind];
  const base = {
    id: `${shape.idPrefix}${identity.generation}`,
    created: Math.floor(identity.createdAt / MS_PER_SECOND),
    model: identity.model,
  };
  const renderChunk = (choice: object, finishReason: string | null) =>
    JSON.stringify({
      ...base,
      object: shape.chunkObject,
      choices: [{ index: 0, ...choice, logprobs: null, finish_reason: finishReason }],
    });
  const frame = renderChunk(shape.toChunkChoice(TEXT_MARK), null);
  const [before = "", after = ""] = frame.split(JSON.stringify(TEXT_MARK));

  return {
    renderOpening: () => shape.opening && renderChunk(shape.opening, null),
    renderToken: (text) => before + JSON.stringify(text) + after,
    renderFinish: (end) => renderChunk(shape.toChunkChoice(undefined), end.reason),
    renderUsage: (end) =>
      JSON.stringify({
        ...base,
        object: shape.chunkObject,
        choices: [],
        usage: renderUsageCounts(end),
      }),
    renderWhole: (text, end) => ({
      ...base,
      object: shape.wholeObject,
      choices: [
        {
          index: 0,
          ...shape.toWholeChoice(text),
          logprobs: null,
          finish_reason: end.reason,
        },
      ],
      usage: renderUsageCounts(end),
    }),
  };
};
