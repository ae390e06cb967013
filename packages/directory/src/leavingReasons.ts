/** What the reasons for which servers get no new work rest on. Pure. */
import type { LeavingReason } from "./types.js";

/** What a mark rests on: the server's own word, an entry that is not there, or what a box has concluded. */
export type LeavingEvidence = "own_word" | "entry_gone" | "concluded";

const BASIS: Readonly<Record<LeavingReason, LeavingEvidence>> = {
  entry_says_leaving: "own_word",
  report: "own_word",
  answer_says_leaving: "own_word",
  told_own_word: "own_word",
  entry_gone: "entry_gone",
  address_reused: "concluded",
  told_by_box: "concluded",
  started_again: "concluded",
};

/** Gives what the reason rests on. */
export const getLeavingEvidence = (reason: LeavingReason): LeavingEvidence =>
  BASIS[reason];

/** Whether the server's entry, once it is there again, takes the mark back. */
export const isTakenBack = (reason: LeavingReason): boolean =>
  reason === "entry_gone" || reason === "told_by_box";

const computeFirmness = (reason: LeavingReason): number => {
  if (isTakenBack(reason)) return 0;
  return BASIS[reason] === "own_word" ? 2 : 1;
};

/** Whether a reason outlasts the one known. */
export const isStronger = (reason: LeavingReason, known: LeavingReason): boolean =>
  computeFirmness(reason) > computeFirmness(known);
