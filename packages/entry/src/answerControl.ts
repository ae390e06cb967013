/** What streamed and whole answers share: their run, and being sent elsewhere. */
import type { RunHandle } from "@stairgauge/relay";
import type { ApiFailure } from "./apiError.js";

/** Holds the run of an answer once it has begun. */
export type AnswerControl = Readonly<{
  attach: (run: RunHandle) => void;
  leave: () => void;
  setBlocked: (isBlocked: boolean) => void;
  sendAway: () => void;
}>;

/** Creates the control of an answer. */
export const createAnswerControl = (answer: {
  readonly isOver: () => boolean;
  readonly fail: (failure: ApiFailure) => void;
}): AnswerControl => {
  let run: RunHandle | undefined;
  return {
    attach: (started) => {
      run = started;
    },
    leave: () => run?.leave(),
    setBlocked: (isBlocked) => run?.setBlocked(isBlocked),
    sendAway: () => {
      if (answer.isOver()) return;
      run?.leave();
      answer.fail({ kind: "resume_elsewhere" });
    },
  };
};
