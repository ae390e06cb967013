/** Answers another box's question for a table by what this one knows. */
import type { Ms } from "@stairgauge/common";
import type { TableMirror } from "@stairgauge/storefeed";
import type { TableAnswer, TableQuestion } from "./types.js";

/** Answers from the mirror of the table; a waiting question sooner when that gets older than `mostAge`. */
export const answerTable = async (
  mirrors: ReadonlyMap<string, TableMirror>,
  question: TableQuestion,
  mostAge: Ms,
): Promise<TableAnswer> => {
  const mirror = mirrors.get(question.table);
  if (!mirror) return { kind: "not_known" };
  if (question.kind === "whole") {
    const read = mirror.readWhole();
    if (read.err) return read.val;
    const { rows, revision, source } = read.val;
    return { kind: "whole", rows, revision, age: source.age };
  }
  const { since, wait } = question;
  const read = await mirror.awaitChanges({ since, wait, mostAge });
  if (read.err) return read.val;
  const { changes, revision, source } = read.val;
  return { kind: "changes", changes, revision, age: source.age };
};
