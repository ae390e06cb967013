/** Evidence behind the reasons for which servers get no new work. Pure. */
import type { LeavingReason } from "./types.js";

/**
 * Evidence for marking a server as leaving: its own announcement (`own_word`), a missing entry, or
 * a conclusion of a box.
 */
export type LeavingEvidence = "own_word" | "entry_gone" | "concluded";

const EVIDENCE: Readonly<Record<LeavingReason, LeavingEvidence>> = {
  entry_says_leaving: "own_word",
  report: "own_word",
  answer_says_leaving: "own_word",
  told_own_word: "own_word",
  entry_gone: "entry_gone",
  address_reused: "concluded",
  told_by_box: "concluded",
  started_again: "concluded",
};

export const getLeavingEvidence = (reason: LeavingReason): LeavingEvidence =>
  EVIDENCE[reason];

/** Whether the mark is removed when the server's entry is present again. */
export const isTakenBack = (reason: LeavingReason): boolean =>
  reason === "entry_gone" || reason === "told_by_box";

const computeStrength = (reason: LeavingReason): number => {
  if (isTakenBack(reason)) return 0;
  return EVIDENCE[reason] === "own_word" ? 2 : 1;
};

/** Whether a reason replaces the one on record. */
export const isStronger = (reason: LeavingReason, known: LeavingReason): boolean =>
  computeStrength(reason) > computeStrength(known);
