/**
 * A server that was sent a request and says nothing: it may be dead behind a link that never closes, and nothing but
 * time tells. Only requests that may run again are given up on, and only where another server is there.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";

/** How long a plain server may take, as a multiple of the route's aim; its slowest requests take five times the mean. */
const PLAIN_PATIENCE = 2.5;

/** The same for a generation, whose engine is then asked whether it lives: a full one is silent for long. */
const GENERATION_PATIENCE = 1;

/** What watching needs. */
export type SilenceWatch = Readonly<{
  clock: Clock;
  /** The route's aim for the first answer. */
  aim: Ms;
  isGeneration: boolean;
  /** Whether the server answers anything at all. */
  isAlive: () => Promise<boolean>;
  /** The server has been silent for too long. */
  onSilent: () => void;
}>;

/** Starts to watch; whoever hears the server cancels it. */
export const watchSilence = (watch: SilenceWatch): Timer => {
  const { clock, aim, isGeneration, isAlive, onSilent } = watch;
  let isOver = false;
  const judge = async () => {
    if (isGeneration && (await isAlive())) return;
    if (!isOver) onSilent();
  };
  const patience = aim * (isGeneration ? GENERATION_PATIENCE : PLAIN_PATIENCE);
  const timer = clock.setTimer(patience as Ms, () => void judge());
  return {
    cancel: () => {
      isOver = true;
      timer.cancel();
    },
  };
};
