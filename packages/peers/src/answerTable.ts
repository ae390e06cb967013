/** Answers another box's question for a table by what this one knows. */
import type { Ms } from "@stairgauge/common";
import type { TableMirror } from "@stairgauge/storefeed";
import type { TableAnswer, TableQuestion } from "./types.js";

/** How long ago the store confirmed anything: a table that hardly changes is confirmed seldom, and yet heard. */
const computeSilence = (mirrors: ReadonlyMap<string, TableMirror>): Ms =>
  Math.min(...[...mirrors.values()].map((mirror) => mirror.getAge())) as Ms;

/** Answers from the mirror of the table; a waiting question sooner when the store is silent for longer than `mostSilence`. */
export const answerTable = async (
  mirrors: ReadonlyMap<string, TableMirror>,
  question: TableQuestion,
  mostSilence: Ms,
): Promise<TableAnswer> => {
  const mirror = mirrors.get(question.table);
  if (!mirror) return { kind: "not_known" };
  if (question.kind === "whole") {
    const read = mirror.readWhole();
    if (read.err) return read.val;
    const { rows, revision, source } = read.val;
    const silence = computeSilence(mirrors);
    return { kind: "whole", rows, revision, age: source.age, silence };
  }
  const wait = Math.min(question.wait, mostSilence - computeSilence(mirrors)) as Ms;
  const read = await mirror.awaitChanges({ since: question.since, wait });
  if (read.err) return read.val;
  const { changes, revision, source } = read.val;
  const silence = computeSilence(mirrors);
  return { kind: "changes", changes, revision, age: source.age, silence };
};
