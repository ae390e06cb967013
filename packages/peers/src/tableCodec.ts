/** Codec for table questions and their answers between boxes. Messages are validated like any input. */
import type { Ms } from "@stairgauge/common";
import {
  INITIAL_REVISION,
  makeRevision,
  type RowChange,
  type StoreRevision,
} from "@stairgauge/storefeed";
import { z } from "zod";
import type { ReportOddPart } from "./decodeParts.js";
import {
  count,
  decodeTableRow,
  fromWireRevision,
  revisionFields,
  toWireRevision,
  toWireRow,
} from "./rowCodec.js";
import type { TableAnswer, TableQuestion } from "./types.js";

const ms = z
  .number()
  .nonnegative()
  .transform((value) => value as Ms);
const questionSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("whole"),
    table: z.string(),
    revision: count.default(INITIAL_REVISION.version),
    era: revisionFields.era,
  }),
  z.object({
    kind: z.literal("changes"),
    table: z.string(),
    since: count,
    era: revisionFields.era,
    wait: ms,
  }),
]);

const goneSchema = z.object({ gone: z.string() });
const ages = { age: ms, silence: ms };

const answerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("whole"),
    rows: z.array(z.unknown()),
    ...revisionFields,
    ...ages,
  }),
  z.object({
    kind: z.literal("changes"),
    changes: z.array(z.unknown()),
    ...revisionFields,
    ...ages,
  }),
  z.object({ kind: z.literal("not_known") }),
  z.object({ kind: z.literal("history_gone") }),
]);

const toWireChange = (change: RowChange) =>
  change.kind === "put" ? toWireRow(change.row) : { gone: change.key };

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));
const parse = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"));

/** Converts a question to its form in a message. */
export const toWireQuestion = (question: TableQuestion): unknown => {
  switch (question.kind) {
    case "whole": {
      const { atLeast, ...rest } = question;
      return { ...rest, ...toWireRevision(atLeast) };
    }
    case "changes": {
      const { since, ...rest } = question;
      return { ...rest, since: since.version, era: since.era };
    }
  }
};

/** Encodes a question. */
export const encodeQuestion = (question: TableQuestion): Buffer =>
  encode(toWireQuestion(question));

/** Converts a question from its form in a message; throws if it is invalid. */
export const parseQuestion = (value: unknown): TableQuestion => {
  const question = questionSchema.parse(value);
  switch (question.kind) {
    case "whole": {
      const { revision, era, ...rest } = question;
      return { ...rest, atLeast: makeRevision(era, revision) };
    }
    case "changes": {
      const { since, era, ...rest } = question;
      return { ...rest, since: makeRevision(era, since) };
    }
  }
};

/** Decodes a question; throws on invalid bytes, as gRPC expects of a decoder. */
export const decodeQuestion = (bytes: Buffer): TableQuestion =>
  parseQuestion(parse(bytes));

/** Converts an answer to its form in a message. */
export const toWireAnswer = (answer: TableAnswer): unknown => {
  switch (answer.kind) {
    case "whole":
      return {
        ...answer,
        ...toWireRevision(answer.revision),
        rows: answer.rows.map(toWireRow),
      };
    case "changes":
      return {
        ...answer,
        ...toWireRevision(answer.revision),
        changes: answer.changes.map(toWireChange),
      };
    case "not_known":
    case "history_gone":
      return answer;
  }
};

/** Encodes an answer. */
export const encodeAnswer = (answer: TableAnswer): Buffer => encode(toWireAnswer(answer));

const decodeChange = (
  change: unknown,
  message: StoreRevision,
  onOddPart: () => void,
): RowChange | undefined => {
  const gone = goneSchema.safeParse(change);
  if (gone.success) return { kind: "gone", key: gone.data.gone };
  const row = decodeTableRow(change, message, onOddPart);
  return row && { kind: "put", row };
};

/** Converts an answer from its form in a message; throws if it is invalid. A row that can't be read costs only itself. */
export const parseAnswer = (
  value: unknown,
  onOddPart: ReportOddPart = () => undefined,
): TableAnswer => {
  const answer = answerSchema.parse(value);
  switch (answer.kind) {
    case "whole": {
      const { kind, age, silence } = answer;
      const revision = fromWireRevision(answer);
      const rows = answer.rows.flatMap(
        (row) => decodeTableRow(row, revision, () => onOddPart("rows")) ?? [],
      );
      return { kind, rows, revision, age, silence };
    }
    case "changes": {
      const { kind, age, silence } = answer;
      const revision = fromWireRevision(answer);
      const changes = answer.changes.flatMap(
        (change) => decodeChange(change, revision, () => onOddPart("changes")) ?? [],
      );
      // Any row of the table may have changed.
      if (changes.length < answer.changes.length) return { kind: "history_gone" };
      return { kind, changes, revision, age, silence };
    }
    case "not_known":
    case "history_gone":
      return answer;
  }
};

/** Decodes an answer; throws on invalid bytes. */
export const decodeAnswer = (bytes: Buffer, onOddPart?: ReportOddPart): TableAnswer =>
  parseAnswer(parse(bytes), onOddPart);
