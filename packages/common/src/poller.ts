/** Repeats an asynchronous call; each call starts an interval after the previous one has ended, also after one that throws. */
import type { Clock, Timer } from "./clock.js";
import type { Ms } from "./types.js";

/** A poller that can be started and stopped. */
export type Poller = Readonly<{ start: () => void; stop: () => void }>;

/** Creates a poller; the first call of `look` is made by `start`. */
export const createPoller = (options: {
  readonly clock: Clock;
  readonly interval: Ms;
  readonly poll: () => Promise<unknown>;
}): Poller => {
  const { clock, interval, poll } = options;
  let timer: Timer | undefined;
  let isStopped = false;

  const pollOnce = async () => {
    try {
      await poll();
    } finally {
      if (!isStopped) timer = clock.setTimer(interval, () => void pollOnce());
    }
  };

  return {
    start: () => void pollOnce(),
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };
};
