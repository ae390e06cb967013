/** Runs the steps of a dispatch, so that one that throws ends its request instead of leaving it without an end. */

/** Runs a step at once. What it throws, or its promise rejects with, is handled and not passed on. */
export type RunStep = (step: () => unknown) => void;

/** Creates the function for one dispatch; `onFault` gets what a step threw. */
export const createRunStep =
  (onFault: (error: unknown) => void): RunStep =>
  (step) => {
    try {
      const result = step();
      if (result instanceof Promise) void result.catch(onFault);
    } catch (error) {
      onFault(error);
    }
  };

/** Describes what a step threw, for the log line by which the bug is found. */
export const describeFault = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
