/** Controls that streamed and whole answers share. */
import type { RunHandle } from "@stairgauge/relay";
import type { ApiFailure } from "./apiError.js";

/** Passes control calls to the run of an answer; they do nothing until a run is attached. */
export type AnswerControl = Readonly<{
  attach: (run: RunHandle) => void;
  /** Ends the run because the caller's connection closed. */
  leave: () => void;
  /** Stops or resumes reading from the engine, as the caller's connection accepts data or not. */
  setBlocked: (isBlocked: boolean) => void;
  /** Ends the answer with an error that asks the caller to resume on another box. */
  endForResume: () => void;
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
    endForResume: () => {
      if (answer.isOver()) return;
      run?.leave();
      answer.fail({ kind: "resume_elsewhere" });
    },
  };
};
