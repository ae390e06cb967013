/** Codec for the stream of table questions between two boxes. Each message names its question by a number of the asker. */
import { z } from "zod";
import type { ReportOddPart } from "./decodeParts.js";
import {
  parseAnswer,
  parseQuestion,
  toWireAnswer,
  toWireQuestion,
} from "./tableCodec.js";
import type { TableAnswer, TableQuestion } from "./types.js";

/** A message of the asking box. */
export type TableCall = Readonly<
  | { kind: "ask"; id: number; question: TableQuestion }
  /** The answer is no longer wanted. */
  | { kind: "cancel"; id: number }
  /** Of a kind that only later releases know; it is never sent. */
  | { kind: "unknown"; id: number }
>;

/** A message of the answering box. */
export type TableReply = Readonly<
  | { kind: "answered"; id: number; answer: TableAnswer }
  | { kind: "failed"; id: number; detail: string }
>;

const id = z.int().nonnegative();
const callSchema = z.object({
  id,
  question: z.unknown().optional(),
  cancelled: z.boolean().optional(),
});
const replySchema = z.object({
  id,
  answer: z.unknown().optional(),
  failed: z.string().optional(),
});

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));
const parse = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"));

/** Encodes a message of the asking box. */
export const encodeTableCall = (call: TableCall): Buffer => {
  switch (call.kind) {
    case "ask":
      return encode({ id: call.id, question: toWireQuestion(call.question) });
    case "cancel":
      return encode({ id: call.id, cancelled: true });
    case "unknown":
      return encode({ id: call.id });
  }
};

/** Decodes a message of the asking box; throws without a number, since no reply could name the question. */
export const decodeTableCall = (bytes: Buffer): TableCall => {
  const call = callSchema.parse(parse(bytes));
  if (call.cancelled === true) return { kind: "cancel", id: call.id };
  try {
    return { kind: "ask", id: call.id, question: parseQuestion(call.question) };
  } catch {
    return { kind: "unknown", id: call.id };
  }
};

/** Encodes a message of the answering box. */
export const encodeTableReply = (reply: TableReply): Buffer =>
  reply.kind === "answered"
    ? encode({ id: reply.id, answer: toWireAnswer(reply.answer) })
    : encode({ id: reply.id, failed: reply.detail });

/** Decodes a message of the answering box; throws without a number. An unreadable answer fails its own question only. */
export const decodeTableReply = (
  bytes: Buffer,
  onOddPart?: ReportOddPart,
): TableReply => {
  const reply = replySchema.parse(parse(bytes));
  if (reply.failed !== undefined)
    return { kind: "failed", id: reply.id, detail: reply.failed };
  try {
    return {
      kind: "answered",
      id: reply.id,
      answer: parseAnswer(reply.answer, onOddPart),
    };
  } catch {
    return { kind: "failed", id: reply.id, detail: "unreadable answer" };
  }
};
