/** Measures in windows of a fixed length how busy the event loop is. A window that ends late is longer. */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import { MIN_CURRENT_MS, SHORT_SHARE, WINDOW_MS } from "./constants.js";
import type { LoopReading, LoopWindow } from "./types.js";

/** Options of a meter. */
export type LoopMeterOptions = Readonly<{
  clock: Pick<Clock, "setTimer">;
  read: () => LoopReading;
  onWindow: (window: LoopWindow) => void;
}>;

/** Measures until it is stopped. */
export type LoopMeter = Readonly<{
  start: () => void;
  stop: () => void;
  /** Whether the event loop has had no idle time since the current window began; of the last window if that was just now. */
  isBusy: () => boolean;
}>;

/** Computes what happened between two readings; undefined if no time has passed. */
export const computeWindow = (
  before: LoopReading,
  after: LoopReading,
): LoopWindow | undefined => {
  const lasted = (after.at - before.at) as Ms;
  if (lasted <= 0) return undefined;
  const idleShare = (after.idle - before.idle) / lasted;
  const busyShare = Math.min(1, Math.max(0, 1 - idleShare));
  const turns = Math.max(1, after.turns - before.turns);
  return {
    lasted,
    busyShare,
    turnTime: ((lasted * busyShare) / turns) as Ms,
    processorShare: (after.processor - before.processor) / lasted,
  };
};

/** Creates a meter that has not been started. */
export const createLoopMeter = ({
  clock,
  read,
  onWindow,
}: LoopMeterOptions): LoopMeter => {
  let timer: Timer | undefined;
  let begin: LoopReading | undefined;
  let lastBusyShare = 0;

  const scheduleReading = (before: LoopReading) => {
    begin = before;
    timer = clock.setTimer(WINDOW_MS, () => {
      const after = read();
      const window = computeWindow(before, after);
      scheduleReading(after);
      if (!window) return;
      lastBusyShare = window.busyShare;
      onWindow(window);
    });
  };
  return {
    start: () => scheduleReading(read()),
    stop: () => timer?.cancel(),
    isBusy: () => {
      const current = begin && computeWindow(begin, read());
      const isLong = current !== undefined && current.lasted >= MIN_CURRENT_MS;
      return (isLong ? current.busyShare : lastBusyShare) >= SHORT_SHARE;
    },
  };
};
