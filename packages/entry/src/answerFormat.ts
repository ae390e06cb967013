/** Renders answers in the format of the chat and completion APIs. */
import type { StreamEnd } from "@stairgauge/streams";
import type { GenerationInterface } from "./parseGeneration.js";

const MS_PER_SECOND = 1_000;

/** Fields that are the same in all events of an answer. */
export type AnswerIdentity = Readonly<{
  /** Id of the generation. */
  generation: string;
  /** Name of the model as the caller gave it. */
  model: string;
  /** Wall time, milliseconds since 1970. */
  createdAt: number;
}>;

/** Renders one answer. */
export type AnswerFormat = Readonly<{
  /** Data of the event before the first token; undefined if the format has none. */
  renderOpening: () => string | undefined;
  renderToken: (text: string) => string;
  /** Data of the event that carries the finish reason. */
  renderFinish: (end: StreamEnd) => string;
  /** Data of the event that carries the token counts. */
  renderUsage: (end: StreamEnd) => string;
  /** Body of an answer that is not streamed. */
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

/** Placeholder for the text: a chunk is rendered once, and each token's text replaces it. */
const TEXT_PLACEHOLDER = "\u0000text\u0000";

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
  const template = renderChunk(shape.toChunkChoice(TEXT_PLACEHOLDER), null);
  const [before = "", after = ""] = template.split(JSON.stringify(TEXT_PLACEHOLDER));

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
