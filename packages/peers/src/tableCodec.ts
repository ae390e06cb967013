/** Questions for a table and their answers as bytes, and back; what another box sends is checked like any input. */
import type { Ms } from "@stairgauge/common";
import type { RowChange, StoredRow } from "@stairgauge/storefeed";
import { z } from "zod";
import type { TableAnswer, TableQuestion } from "./types.js";

const questionSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("whole"), table: z.string() }),
  z.object({
    kind: z.literal("changes"),
    table: z.string(),
    since: z.number().nonnegative(),
    wait: z.number().nonnegative(),
  }),
]);

const rowSchema = z.object({
  key: z.string(),
  value: z.base64(),
  revision: z.number().nonnegative(),
});
const changeSchema = z.union([rowSchema, z.object({ gone: z.string() })]);
const revision = z.number().nonnegative();
const ages = { age: z.number().nonnegative(), silence: z.number().nonnegative() };

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

type WireRow = z.infer<typeof rowSchema>;

const toWireRow = (row: StoredRow): WireRow => ({
  ...row,
  value: row.value.toString("base64"),
});
const fromWireRow = (row: WireRow): StoredRow => ({
  ...row,
  value: Buffer.from(row.value, "base64"),
});
const toWireChange = (change: RowChange) =>
  change.kind === "put" ? toWireRow(change.row) : { gone: change.key };
const fromWireChange = (change: z.infer<typeof changeSchema>): RowChange =>
  "gone" in change
    ? { kind: "gone", key: change.gone }
    : { kind: "put", row: fromWireRow(change) };

const decodeAges = ({ age, silence }: Readonly<{ age: number; silence: number }>) => ({
  age: age as Ms,
  silence: silence as Ms,
});

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));
const parse = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"));

/** Encodes a question. */
export const encodeQuestion = (question: TableQuestion): Buffer => encode(question);

/** Decodes a question; throws on bytes that are none, as the transport expects of a decoder. */
export const decodeQuestion = (bytes: Buffer): TableQuestion => {
  const question = questionSchema.parse(parse(bytes));
  return question.kind === "whole"
    ? question
    : { ...question, wait: question.wait as Ms };
};

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
export const decodeAnswer = (bytes: Buffer): TableAnswer => {
  const answer = answerSchema.parse(parse(bytes));
  switch (answer.kind) {
    case "whole":
      return {
        ...answer,
        ...decodeAges(answer),
        rows: answer.rows.map(fromWireRow),
      };
    case "changes":
      return {
        ...answer,
        ...decodeAges(answer),
        changes: answer.changes.map(fromWireChange),
      };
    case "not_known":
    case "history_gone":
      return answer;
  }
};
