/** Logs errors that nothing else handles, each with its stack, so that one that comes with every step of a loop fills no log. */
import { dropOldest } from "@stairgauge/common";
import type { DecisionLog } from "@stairgauge/telemetry";

/** Most stacks on record; an older one is logged again as if it were new. */
const MAX_STACKS = 256;

/** Most characters of a stack in the log. */
const MAX_STACK_LENGTH = 4_000;

const describeError = (error: unknown): string => {
  const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
  return text.slice(0, MAX_STACK_LENGTH);
};

/** Whether the count is 1, 10, 100 and so on. */
const isLogged = (times: number) => /^10*$/.test(String(times));

/** Creates the reporter, which logs a stack the first, tenth, hundredth time and so on. `fields` say where the error was caught. */
export const createUnexpectedErrorReporter = (log: Pick<DecisionLog, "writeWarning">) => {
  const counts = new Map<string, number>();

  return (error: unknown, fields: Readonly<Record<string, unknown>> = {}): void => {
    const text = describeError(error);
    const times = (counts.get(text) ?? 0) + 1;
    counts.set(text, times);
    dropOldest(counts, MAX_STACKS);
    if (isLogged(times))
      log.writeWarning("unexpected_error", { error: text, times, ...fields });
  };
};
