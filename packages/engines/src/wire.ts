/** Wire format of engines: JSON for control calls, server-sent events for frames. */
import { z } from "zod";
import type { GenerationId, ModelName, Ms } from "@stairgauge/common";
import type { EngineFrame } from "@stairgauge/streams";

const id = z.string().min(1).max(100);
const count = z.int().min(0);
const time = count.transform((value) => value as Ms);

/** Body of `POST /engine/v1/generations`. */
export const startBodySchema = z.object({
  generation: id.transform((value) => value as GenerationId),
  model: id.transform((value) => value as ModelName),
  adapter: id.optional(),
  prompt: z.string(),
  promptTokens: count,
  maxTokens: z.int().positive(),
  stop: z.array(z.string()).default([]),
  temperature: z.number().optional(),
  priority: z.int(),
  detachGraceMs: count.transform((value) => value as Ms),
});

/** Body of `GET /engine/v1/load`. */
export const loadReportSchema = z.object({
  sequence: count,
  running: count,
  waiting: count,
  usedTokens: count,
  memoryTokens: count,
  preemptions: count,
  isLeaving: z.boolean(),
  fencingToken: count,
});

/** Body of `GET /engine/v1/cache-events`. */
export const cacheEventsSchema = z.array(
  z.object({ sequence: count, kind: z.enum(["stored", "evicted"]), prefixHash: id }),
);

/** Body of `POST /engine/v1/orders`. */
export const orderSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("loadAdapter"),
    adapter: id,
    fencingToken: count,
    deadlineAt: time,
  }),
  z.object({
    kind: z.literal("loadModel"),
    model: id.transform((value) => value as ModelName),
    version: id,
    fencingToken: count,
    deadlineAt: time,
  }),
  z.object({
    kind: z.literal("changeRole"),
    role: z.enum(["prefill", "decode", "both"]),
    fencingToken: count,
    deadlineAt: time,
  }),
]);

/** Body of a refusal. `outcome` is `not_run` if it is certain that nothing ran. */
export const refusalSchema = z.object({
  error: z.object({ kind: z.string(), message: z.string() }),
  outcome: z.enum(["not_run", "unknown"]).default("unknown"),
});

/** Kind of the refusal that an engine sends when it is about to shut down. */
export const LEAVING_KIND = "leaving";

/** Kind of the refusal of a resume when the engine does not have the generation. */
export const GENERATION_GONE_KIND = "generation_gone";

/** Encodes a frame as one server-sent event. */
export const encodeFrame = (frame: EngineFrame): string => {
  switch (frame.kind) {
    case "heartbeat":
      return `data: {"h":1}\n\n`;
    case "token":
      return `data: {"g":"${frame.generation}","i":${frame.index},"t":${JSON.stringify(frame.text)}}\n\n`;
    case "end":
      return `data: {"g":"${frame.generation}","end":"${frame.reason}","n":${frame.tokens},"p":${frame.promptTokens}}\n\n`;
  }
};

const isCount = (value: unknown): value is number =>
  typeof value === "number" && Number.isSafeInteger(value) && value >= 0;

type WireFrame = Readonly<Record<"g" | "i" | "t" | "end" | "n" | "p" | "h", unknown>>;

/**
 * Decodes the data of one event; undefined if it is not a frame. It checks by hand instead of with
 * zod, because it runs once per token.
 */
export const decodeFrame = (data: string): EngineFrame | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  const { g, i, t, end, n, p, h } = value as WireFrame;
  if (h === 1) return { kind: "heartbeat" };
  if (typeof g !== "string") return undefined;
  const generation = g as GenerationId;
  if (isCount(i) && typeof t === "string")
    return { kind: "token", generation, index: i, text: t };
  if ((end === "stop" || end === "length") && isCount(n) && isCount(p)) {
    return { kind: "end", generation, reason: end, tokens: n, promptTokens: p };
  }
  return undefined;
};
