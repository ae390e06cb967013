/** Codec for questions to hubs and their answers. Messages are validated like any input. */
import type {
  BoxName,
  Ms,
  RegionName,
  ServiceName,
  WorkspaceName,
} from "@stairgauge/common";
import type { ServerId, SoftwareVersion } from "@stairgauge/directory";
import { z } from "zod";
import type { MovesAnswer, MovesQuestion, PlaceAnswer, PlaceQuestion } from "./types.js";
import { fromWireRun, runSchema, toWireRun } from "./updateCodec.js";

const serverId = z.string().transform((id) => id as ServerId);
const count = z.number().nonnegative();
const ms = count.transform((value) => value as Ms);
const signedMs = z.number().transform((value) => value as Ms);

const bindingSchema = z.object({
  service: z.string().transform((name) => name as ServiceName),
  softwareVersion: z.string().transform((name) => name as SoftwareVersion),
});

const placeQuestionSchema = z.object({
  box: z.string().min(1),
  run: runSchema,
  service: z.string(),
  tier: z.number(),
  except: z.array(serverId),
  regions: z.array(z.string().transform((name) => name as RegionName)).optional(),
  binding: bindingSchema.optional(),
  sharer: z.object({ workspace: z.string(), subject: z.string() }).optional(),
  urgency: z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("at_once") }),
    z.object({ kind: z.literal("if_room") }),
    z.object({ kind: z.literal("within"), wait: ms }),
  ]),
  admission: z
    .object({
      workspace: z
        .string()
        .transform((name) => name as WorkspaceName)
        .optional(),
      subject: z.string().optional(),
      aimInMs: signedMs,
      endsInMs: signedMs,
      workMs: ms,
    })
    .optional(),
});

const placeAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("placed"),
    server: serverId,
    reason: z.enum(["only_one", "least_busy", "most_free_memory"]),
    load: z.number(),
    memoryAfter: z.number().optional(),
    reportAge: ms.optional(),
    candidates: count,
    limited: z.object({ perSecond: z.number(), part: count, used: count }).optional(),
  }),
  z.object({ kind: z.literal("no_room"), memoryAfter: z.number() }),
  z.object({
    kind: z.literal("no_server"),
    reason: z.enum([
      "none_known",
      "none_in_regions",
      "none_of_version",
      "halls_closed",
      "servers_cold",
      "servers_limited",
      "servers_resting",
      "connections_used",
      "none_left",
      "no_room",
      "too_late",
    ]),
    known: count,
    retryAfter: ms.optional(),
  }),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum(["no_room", "too_late"]),
    retryAfter: ms,
  }),
]);

const KNOWN_ANSWERS: ReadonlySet<string> = new Set([
  "placed",
  "no_room",
  "no_server",
  "refused",
]);

const kindSchema = z.object({ kind: z.string() });

/** Whether the answer is of a kind that only later releases know. */
const isUnknownAnswer = (value: unknown): boolean => {
  const read = kindSchema.safeParse(value);
  return read.success && !KNOWN_ANSWERS.has(read.data.kind);
};

const movesQuestionSchema = z.object({ server: serverId, isFresh: z.boolean() });

const movesAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("moves"),
    runs: z.array(z.object({ id: z.string(), tokensInMemory: count, tokensLeft: count })),
    targets: z.array(
      z.object({
        server: serverId,
        takenTokens: count,
        totalTokens: z.number().positive(),
        isNear: z.boolean(),
      }),
    ),
  }),
  z.object({ kind: z.literal("not_known") }),
]);

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));
const parse = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"));

/** Encodes a question where to place a run. */
export const encodePlaceQuestion = (question: PlaceQuestion): Buffer =>
  encode({ ...question, run: toWireRun(question.run) });

/** Decodes a question where to place a run; throws on invalid bytes, as gRPC expects of a decoder. */
export const decodePlaceQuestion = (bytes: Buffer): PlaceQuestion => {
  const { box, run, service, admission, ...rest } = placeQuestionSchema.parse(
    parse(bytes),
  );
  return {
    ...rest,
    ...(admission && {
      admission: {
        ...admission,
        workspace: admission.workspace,
        subject: admission.subject,
      },
    }),
    box: box as BoxName,
    run: fromWireRun(run),
    service: service as ServiceName,
  };
};

/** Encodes a hub's choice of a server. */
export const encodePlaceAnswer = (answer: PlaceAnswer): Buffer => encode(answer);

/** Decodes a hub's choice of a server; throws on invalid bytes. */
export const decodePlaceAnswer = (bytes: Buffer): PlaceAnswer => {
  const value = parse(bytes);
  if (isUnknownAnswer(value)) return { kind: "unknown" };
  const answer = placeAnswerSchema.parse(value);
  if (answer.kind !== "placed") return answer;
  const { memoryAfter, reportAge, ...rest } = answer;
  return { ...rest, memoryAfter, reportAge };
};

/** Encodes a question which runs leave an engine. */
export const encodeMovesQuestion = (question: MovesQuestion): Buffer => encode(question);

/** Decodes a question which runs leave an engine; throws on invalid bytes. */
export const decodeMovesQuestion = (bytes: Buffer): MovesQuestion =>
  movesQuestionSchema.parse(parse(bytes));

/** Encodes the runs that leave an engine, and their targets. */
export const encodeMovesAnswer = (answer: MovesAnswer): Buffer => encode(answer);

/** Decodes the runs that leave an engine, and their targets; throws on invalid bytes. */
export const decodeMovesAnswer = (bytes: Buffer): MovesAnswer =>
  movesAnswerSchema.parse(parse(bytes));
