/** Questions for a table and their answers as bytes, and back; what another box sends is checked like any input. */
import type { Ms } from "@stairgauge/common";
import type { RowChange, StoredRow } from "@stairgauge/storefeed";
import { z } from "zod";
import type { TableAnswer, TableQuestion } from "./types.js";

const ms = z
  .number()
  .nonnegative()
  .transform((value) => value as Ms);
const revision = z.number().nonnegative();

const questionSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("whole"), table: z.string() }),
  z.object({ kind: z.literal("changes"), table: z.string(), since: revision, wait: ms }),
]);

const rowSchema = z.object({
  key: z.string(),
  value: z.base64().transform((text) => Buffer.from(text, "base64")),
  revision,
});
const changeSchema = z.union([
  rowSchema.transform((row) => ({ kind: "put", row }) as const),
  z
    .object({ gone: z.string() })
    .transform(({ gone }) => ({ kind: "gone", key: gone }) as const),
]);
const ages = { age: ms, silence: ms };

const answerSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("whole"), rows: z.array(rowSchema), revision, ...ages }),
  z.object({
    kind: z.literal("changes"),
    changes: z.array(changeSchema),
    revision,
    ...ages,
  }),
  z.object({ kind: z.literal("not_known") }),
  z.object({ kind: z.literal("history_gone") }),
]);

const toWireRow = (row: StoredRow) => ({
  ...row,
  value: row.value.toString("base64"),
});
const toWireChange = (change: RowChange) =>
  change.kind === "put" ? toWireRow(change.row) : { gone: change.key };

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));
const parse = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"));

/** Encodes a question. */
export const encodeQuestion = (question: TableQuestion): Buffer => encode(question);

/** Decodes a question; throws on bytes that are none, as the transport expects of a decoder. */
export const decodeQuestion = (bytes: Buffer): TableQuestion =>
  questionSchema.parse(parse(bytes));

/** Encodes an answer. */
export const encodeAnswer = (answer: TableAnswer): Buffer => {
  switch (answer.kind) {
    case "whole":
      return encode({ ...answer, rows: answer.rows.map(toWireRow) });
    case "changes":
      return encode({ ...answer, changes: answer.changes.map(toWireChange) });
    case "not_known":
    case "history_gone":
      return encode(answer);
  }
};

/** Decodes an answer; throws on bytes that are none. */
export const decodeAnswer = (bytes: Buffer): TableAnswer =>
  answerSchema.parse(parse(bytes));
