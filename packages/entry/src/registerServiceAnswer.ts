/** Keeps a plain service's answer among the open ones, so that a planned stop waits for it. */
import type { EntryDeps, OpenAnswer } from "./types.js";

/** An open answer of a plain service. */
export type ServiceAnswer = Readonly<{
  /** Ends the answer; only the first end counts. */
  finish: (end: "whole" | "failed" | "left") => void;
  isOver: () => boolean;
}>;

/** Registers the answer until it is finished. A stop cannot send it elsewhere. */
export const registerServiceAnswer = (deps: EntryDeps): ServiceAnswer => {
  const answer: OpenAnswer = { sendAway: () => undefined };
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
