/** Registers an answer of a plain service as open, so that a planned stop of the box waits for it. */
import type { EntryDeps, OpenAnswer } from "./types.js";

/** An open answer of a plain service. */
export type ServiceAnswer = Readonly<{
  /** Ends the answer; later calls do nothing. `left`: the caller's connection closed. */
  finish: (end: "whole" | "failed" | "left") => void;
  isOver: () => boolean;
}>;

/** Registers an answer until it is finished. It cannot be resumed on another box. */
export const registerServiceAnswer = (deps: EntryDeps): ServiceAnswer => {
  const answer: OpenAnswer = { endForResume: () => undefined };
  let isOver = false;
  deps.answers.add(answer);
  return {
    finish: (end) => {
      if (isOver) return;
      isOver = true;
      deps.answers.remove(answer);
      deps.metrics.requests.inc({ interface: "service", end });
    },
    isOver: () => isOver,
  };
};
