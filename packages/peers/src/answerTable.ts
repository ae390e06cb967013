/** Answers table questions of other boxes from this box's mirrors. */
import type { Ms } from "@stairgauge/common";
import type { TableMirror } from "@stairgauge/storefeed";
import type { TableAnswer, TableQuestion } from "./types.js";

/** What a box answers from. */
export type AnswerSources = Readonly<{
  /** Mirrors by table. */
  mirrors: ReadonlyMap<string, TableMirror>;
  /**
   * The table that the store confirms most often, and whose age is bounded by a guarantee. The time since its last
   * confirmation counts as the silence of the store. Other tables rarely change and are rarely confirmed, and their
   * confirmation proves nothing about this one.
   */
  pulse: TableMirror;
  /** A question that waits for changes is answered before the store has been silent for longer than this. */
  maxSilence: Ms;
  /** How long a box that is behind the asker may wait to catch up before it answers; less than the asker's time limit. */
  catchUpWait: Ms;
}>;

export const answerTable = async (
  { mirrors, pulse, maxSilence, catchUpWait }: AnswerSources,
  question: TableQuestion,
): Promise<TableAnswer> => {
  const mirror = mirrors.get(question.table);
  // Before the first read of the pulse table, the silence of the store is unknown.
  if (!mirror || pulse.readWhole().err) return { kind: "not_known" };
  if (question.kind === "whole") {
    await mirror.awaitRevision({ atLeast: question.atLeast, wait: catchUpWait });
    const read = mirror.readWhole();
    if (read.err) return read.val;
    const { rows, revision, source } = read.val;
    const silence = pulse.getAge();
    return { kind: "whole", rows, revision, age: source.age, silence };
  }
  const wait = Math.min(question.wait, maxSilence - pulse.getAge()) as Ms;
  const read = await mirror.awaitChanges({ since: question.since, wait });
  if (read.err) return read.val;
  const { changes, revision, source } = read.val;
  const silence = pulse.getAge();
  return { kind: "changes", changes, revision, age: source.age, silence };
};
