/**
 * Detects a server that does not answer a request. A dead host may never close its connections, so a
 * timeout is the only evidence. Only attempts of repeatable requests are given up for this reason, and
 * only if another server is available.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";

/**
 * Timeout of a plain request, as a multiple of the route's target for the first answer. The slowest
 * requests take five times the mean.
 */
const PLAIN_TIMEOUT_FACTOR = 2.5;

/**
 * The same for a generation. Its engine is then checked for being alive, as a full engine may not
 * answer for a long time.
 */
const GENERATION_TIMEOUT_FACTOR = 1;

/** Options of the watch. */
export type SilenceWatch = Readonly<{
  clock: Clock;
  /** The route's target time for the first answer. */
  aim: Ms;
  isGeneration: boolean;
  /** Resolves with whether the server answers at all. */
  isAlive: () => Promise<boolean>;
  /** The server did not answer within the timeout. */
  onSilent: () => void;
}>;

/** Starts the watch; the caller cancels it when the server answers. */
export const watchSilence = (watch: SilenceWatch): Timer => {
  const { clock, aim, isGeneration, isAlive, onSilent } = watch;
  let isOver = false;
  const checkSilence = async () => {
    if (isGeneration && (await isAlive())) return;
    if (!isOver) onSilent();
  };
  const timeout = aim * (isGeneration ? GENERATION_TIMEOUT_FACTOR : PLAIN_TIMEOUT_FACTOR);
  const timer = clock.setTimeLimit(timeout as Ms, () => void checkSilence());
  return {
    cancel: () => {
      isOver = true;
      timer.cancel();
    },
  };
};
