/** State of one dispatch, changed by its parts only through the functions here. */
import type { ActiveRun } from "./activeRuns.js";
import type { StreamBinding } from "@stairgauge/placement";
import type { Attempt } from "./attempt.js";
import type { SettledEnd } from "./classifyEnd.js";

/** An end of a server's part of a stream that its next server is to settle. */
export type OpenEnd = Readonly<{
  /** Events that the client had received by then. */
  events: number;
  /** Whether the server ended its part in order. */
  proof: Promise<SettledEnd>;
}>;

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
  /** The last end that was left to the next server; undefined if none was. */
  getOpenEnd: () => OpenEnd | undefined;
  setOpenEnd: (end: OpenEnd) => void;
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
  let openEnd: OpenEnd | undefined;
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
      current?.heldMemory?.set(0);
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
    getOpenEnd: () => openEnd,
    setOpenEnd: (end) => {
      openEnd = end;
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
