/** Parses the bodies of `/v1/chat/completions` and `/v1/completions`. */
import { z } from "zod";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { ApiFailure } from "./apiError.js";
import { MAX_MESSAGES, MAX_STOPS } from "./constants.js";

/** The API of a request: `/v1/chat/completions` or `/v1/completions`. */
export type GenerationInterface = "chat" | "completion";

/** A parsed request body. */
export type GenerationAsk = Readonly<{
  /** Name of a model or adapter, as the caller gave it. */
  model: string;
  prompt: string;
  /** Max length of the answer, tokens; undefined if the caller gave none. */
  maxTokens: number | undefined;
  /** Texts at which the answer ends. */
  stop: readonly string[];
  /** Sampling temperature; undefined if the caller gave none. */
  temperature: number | undefined;
  isStreamed: boolean;
  /** Whether the stream ends with an event that carries the token counts. */
  includesUsage: boolean;
}>;

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const message = z.object({
  role: z.enum(["system", "developer", "user", "assistant", "tool"]),
  content: z.union([z.string(), z.array(textPart)]).nullish(),
});

const shared = {
  model: z.string().min(1).max(200),
  max_tokens: z.int().positive().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(MAX_STOPS)]).nullish(),
  temperature: z.number().min(0).max(2).nullish(),
};

const chatSchema = z.object({
  ...shared,
  messages: z.array(message).min(1).max(MAX_MESSAGES),
  max_completion_tokens: z.int().positive().nullish(),
});

const completionSchema = z.object({
  ...shared,
  prompt: z.union([z.string(), z.array(z.string()).length(1)]),
});

type Shared = z.infer<z.ZodObject<typeof shared>>;

/** Unsupported fields that would change the answer. Values that do not change it are accepted. */
const UNSUPPORTED: readonly Readonly<{
  param: string;
  isHarmless: (value: unknown) => boolean;
}>[] = [
  { param: "n", isHarmless: (value) => value === 1 },
  { param: "best_of", isHarmless: (value) => value === 1 },
  { param: "tools", isHarmless: (value) => Array.isArray(value) && value.length === 0 },
  { param: "tool_choice", isHarmless: (value) => value === "none" || value === "auto" },
  {
    param: "functions",
    isHarmless: (value) => Array.isArray(value) && value.length === 0,
  },
  { param: "logprobs", isHarmless: (value) => value === false },
  { param: "top_logprobs", isHarmless: (value) => value === 0 },
  { param: "echo", isHarmless: (value) => value === false },
  { param: "suffix", isHarmless: (value) => value === "" },
  { param: "audio", isHarmless: () => false },
  { param: "prediction", isHarmless: () => false },
  { param: "web_search_options", isHarmless: () => false },
  {
    param: "modalities",
    isHarmless: (value) => Array.isArray(value) && value.every((one) => one === "text"),
  },
  {
    param: "response_format",
    isHarmless: (value) => (value as { readonly type?: unknown }).type === "text",
  },
  {
    param: "logit_bias",
    isHarmless: (value) =>
      typeof value === "object" && Object.keys(value as object).length === 0,
  },
];

const findUnsupported = (body: object): string | undefined =>
  UNSUPPORTED.find(({ param, isHarmless }) => {
    const value = (body as Readonly<Record<string, unknown>>)[param];
    return value !== undefined && value !== null && !isHarmless(value);
  })?.param;

const renderContent = (content: z.infer<typeof message>["content"]): string =>
  typeof content === "string"
    ? content
    : (content ?? []).map((part) => part.text).join("");

const renderChatPrompt = (messages: readonly z.infer<typeof message>[]): string =>
  [
    ...messages.map((one) => `${one.role}: ${renderContent(one.content)}`),
    "assistant:",
  ].join("\n");

const toAsk = (
  body: Shared,
  prompt: string,
  maxTokens: number | undefined,
): GenerationAsk => ({
  model: body.model,
  prompt,
  maxTokens,
  stop: typeof body.stop === "string" ? [body.stop] : (body.stop ?? []),
  temperature: body.temperature ?? undefined,
  isStreamed: body.stream ?? false,
  includesUsage: body.stream_options?.include_usage ?? false,
});

const toInvalidField = (error: z.ZodError): ApiFailure => {
  const [issue] = error.issues;
  const param = issue?.path.map(String).join(".") || "body";
  return { kind: "invalid_field", param, expected: issue?.message ?? "another value" };
};

/** Validates a decoded JSON body. A failure names the first invalid or unsupported field. */
export const parseGeneration = (
  kind: GenerationInterface,
  body: unknown,
): Result<GenerationAsk, ApiFailure> => {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return Err({
      kind: "invalid_field",
      param: "body",
      expected: "expected a JSON object",
    });
  }
  const unsupported = findUnsupported(body);
  if (unsupported !== undefined)
    return Err({ kind: "unsupported_field", param: unsupported });
  if (kind === "chat") {
    const chat = chatSchema.safeParse(body);
    if (!chat.success) return Err(toInvalidField(chat.error));
    const maxTokens =
      chat.data.max_completion_tokens ?? chat.data.max_tokens ?? undefined;
    return Ok(toAsk(chat.data, renderChatPrompt(chat.data.messages), maxTokens));
  }
  const completion = completionSchema.safeParse(body);
  if (!completion.success) return Err(toInvalidField(completion.error));
  const { prompt, max_tokens } = completion.data;
  const text = typeof prompt === "string" ? prompt : (prompt[0] ?? "");
  return Ok(toAsk(completion.data, text, max_tokens ?? undefined));
};
