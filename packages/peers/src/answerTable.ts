/** Answers another box's question for a table by what this one knows. */
import type { Ms } from "@stairgauge/common";
import type { TableMirror } from "@stairgauge/storefeed";
import type { TableAnswer, TableQuestion } from "./types.js";

/** What a box answers from. */
export type AnswerSources = Readonly<{
  mirrors: ReadonlyMap<string, TableMirror>;
  /**
   * The table that the store confirms most often, and whose age is bound by a promise: how long ago it was confirmed is how
   * long the store is silent. Others hardly change, are confirmed seldom, and prove nothing of this one when they are.
   */
  pulse: TableMirror;
  /** A waiting question is answered sooner when the store is silent for longer. */
  mostSilence: Ms;
  /** How long a box that is behind who asks it may read the table itself before it answers: less than the asker's patience. */
  catchUpWait: Ms;
}>;

/** Answers from the mirror of the table. */
export const answerTable = async (
  { mirrors, pulse, mostSilence, catchUpWait }: AnswerSources,
  question: TableQuestion,
): Promise<TableAnswer> => {
  const mirror = mirrors.get(question.table);
  // A box that has heard nothing yet has no age to tell.
  if (!mirror || pulse.readWhole().err) return { kind: "not_known" };
  if (question.kind === "whole") {
    await mirror.awaitRevision({ atLeast: question.atLeast, wait: catchUpWait });
    const read = mirror.readWhole();
    if (read.err) return read.val;
    const { rows, revision, source } = read.val;
    const silence = pulse.getAge();
    return { kind: "whole", rows, revision, age: source.age, silence };
  }
  const wait = Math.min(question.wait, mostSilence - pulse.getAge()) as Ms;
  const read = await mirror.awaitChanges({ since: question.since, wait });
  if (read.err) return read.val;
  const { changes, revision, source } = read.val;
  const silence = pulse.getAge();
  return { kind: "changes", changes, revision, age: source.age, silence };
};
