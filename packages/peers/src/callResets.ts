/**
 * Cancels the calls of one link at the rate that the other side allows. Each cancelled call resets an HTTP/2 stream; the
 * HTTP/2 library takes more than 1,000 resets beyond 33 a second for an attack, and ends the connection with all calls on
 * it.
 */
import { InterceptingCall, type Interceptor } from "@grpc/grpc-js";
import type { Clock, Ms } from "@stairgauge/common";

/** The cancellations of one link. */
export type CallResets = Readonly<{
  /**
   * Cancels a call, later if too many were cancelled before; the returned function says that the call has ended, which
   * saves its reset.
   */
  cancel: (cancelCall: () => void) => () => void;
}>;

/** Calls that may be cancelled at once: half of what the library allows. */
const MAX_BURST = 500;

/** Interval at which one more may be: just below what the library allows. */
const RESET_INTERVAL_MS = 33 as Ms;

/** Creates them for one link; none was cancelled yet. */
export const createCallResets = (
  clock: Pick<Clock, "monotonic" | "setTimer">,
): CallResets => {
  /** The oldest first. */
  const waiting = new Set<() => void>();
  let left = MAX_BURST;
  let countedAt = clock.monotonic();
  let isScheduled = false;

  const addEarned = () => {
    const earned = Math.floor((clock.monotonic() - countedAt) / RESET_INTERVAL_MS);
    left = Math.min(MAX_BURST, left + earned);
    countedAt = (countedAt + earned * RESET_INTERVAL_MS) as Ms;
  };
  const cancelWaiting = () => {
    addEarned();
    for (const cancelCall of waiting) {
      if (left <= 0) break;
      left -= 1;
      waiting.delete(cancelCall);
      cancelCall();
    }
    scheduleRest();
  };
  const scheduleRest = () => {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    clock.setTimer(RESET_INTERVAL_MS, () => {
      isScheduled = false;
      cancelWaiting();
    });
  };

  return {
    cancel: (cancelCall) => {
      // The same function may cancel several calls.
      const cancelOne = () => cancelCall();
      waiting.add(cancelOne);
      cancelWaiting();
      return () => void waiting.delete(cancelOne);
    },
  };
};

/** Creates what applies them to all calls of a client. */
export const createCancelInterceptor = (
  clock: Pick<Clock, "monotonic" | "setTimer">,
): Interceptor => {
  const resets = createCallResets(clock);
  return (options, nextCall) => {
    /** Whether the call has ended, or its cancellation was asked for. */
    let isSettled = false;
    let forget = () => undefined as void;
    return new InterceptingCall(nextCall(options), {
      start: (metadata, _listener, next) =>
        next(metadata, {
          onReceiveStatus: (status, passOn) => {
            isSettled = true;
            forget();
            passOn(status);
          },
        }),
      cancel: (next) => {
        if (isSettled) return;
        isSettled = true;
        forget = resets.cancel(next);
      },
    });
  };
};
