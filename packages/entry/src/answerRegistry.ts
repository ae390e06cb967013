/** Registry of open answers, so that a planned stop of the box can wait for them. */
import type { AnswerRegistry, OpenAnswer } from "./types.js";

/** Creates an empty registry that accepts new requests. */
export const createAnswerRegistry = (): AnswerRegistry => {
  const answers = new Set<OpenAnswer>();
  let isOpen = true;
  let resolveEmpty: (() => void) | undefined;

  return {
    add: (answer) => {
      answers.add(answer);
    },
    remove: (answer) => {
      answers.delete(answer);
      if (answers.size === 0) resolveEmpty?.();
    },
    count: () => answers.size,
    endAllForResume: () => {
      for (const answer of [...answers]) answer.endForResume();
    },
    isOpen: () => isOpen,
    closeAndWait: () => {
      isOpen = false;
      if (answers.size === 0) return Promise.resolve();
      return new Promise((resolve) => {
        resolveEmpty = resolve;
      });
    },
  };
};
