/** State of one dispatch, changed by its parts only through the functions here. */
import type { ActiveRun } from "./activeRuns.js";
import type { StreamBinding } from "@stairgauge/placement";
import type { Attempt } from "./attempt.js";

/** The state of one dispatch. */
export type DispatchState = Readonly<{
  /** The attempt that is open; undefined between two attempts. */
  getCurrent: () => Attempt | undefined;
  setCurrent: (attempt: Attempt) => void;
  isCurrent: (attempt: Attempt) => boolean;
  /** Whether an attempt was ever sent, so that a server may have the request. */
  hasSent: () => boolean;
  /** Closes the open attempt and frees its server's slot. */
  dropCurrent: () => void;
  /** The record of the stream; undefined until one has started. */
  getRun: () => ActiveRun | undefined;
  setRun: (run: ActiveRun) => void;
  /** What binds the stream; undefined until its client has received an event. */
  getBinding: () => StreamBinding | undefined;
  setBinding: (binding: StreamBinding) => void;
  /** How often the stream was continued at another server. */
  countContinuations: () => number;
  addContinuation: () => void;
  /** Whether a server may have run the request. */
  mayHaveRun: () => boolean;
  markMayHaveRun: () => void;
  isOver: () => boolean;
  /** Marks the dispatch as over; false if it was over already. */
  markOver: () => boolean;
}>;

/** Creates the state of a dispatch that has not begun. */
export const createDispatchState = (): DispatchState => {
  let current: Attempt | undefined;
  /** Whether any attempt before the current one was sent. */
  let hasSentBefore = false;
  let run: ActiveRun | undefined;
  let binding: StreamBinding | undefined;
  let continuations = 0;
  let mayHaveRun = false;
  let isOver = false;

  const hasSent = () => hasSentBefore || (current?.exchange?.isSent() ?? false);

  return {
    getCurrent: () => current,
    setCurrent: (attempt) => {
      current = attempt;
    },
    isCurrent: (attempt) => current === attempt && !isOver,
    hasSent,
    dropCurrent: () => {
      hasSentBefore = hasSent();
      current?.exchange?.cancel();
      current?.silenceWatch?.cancel();
      current?.bodyTimer?.cancel();
      current?.release();
      current = undefined;
    },
    getRun: () => run,
    setRun: (started) => {
      run = started;
    },
    getBinding: () => binding,
    setBinding: (bound) => {
      binding = bound;
    },
    countContinuations: () => continuations,
    addContinuation: () => {
      continuations += 1;
    },
    mayHaveRun: () => mayHaveRun,
    markMayHaveRun: () => {
      mayHaveRun = true;
    },
    isOver: () => isOver,
    markOver: () => {
      if (isOver) return false;
      isOver = true;
      return true;
    },
  };
};
