/** Runs a call with a time limit. */
import type { Clock } from "./clock.js";
import type { Ms } from "./types.js";

/** Runs the call; its signal aborts after `limit`, with a `TimeoutError`, if the call has not settled by then. */
export const runWithin = async <T>(
  clock: Pick<Clock, "setTimeLimit">,
  limit: Ms,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
  const controller = new AbortController();
  const timer = clock.setTimeLimit(limit, () =>
    controller.abort(new DOMException("no answer in time", "TimeoutError")),
  );
  try {
    return await call(controller.signal);
  } finally {
    timer.cancel();
  }
};
