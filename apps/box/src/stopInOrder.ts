/** Shutdown of a box: waits until its open requests have ended, or ends them when its time is over. */
import type { Clock, Ms } from "@stairgauge/common";
import type { StopEnds } from "./computeStopTimes.js";

/**
 * Time after the start of the shutdown in which clients may still be sent here: two health
 * checks a second apart, and the network delay.
 */
const STILL_LISTED_MS = 3_500;
const CHECK_INTERVAL_MS = 100;
/** Interval of the checks whether the last answers are flushed. */
const FLUSH_INTERVAL_MS = 10 as Ms;
/**
 * Least number of these checks. What has arrived is read between two of them, also by a process that is later than the
 * end: it is refused instead of being cut.
 */
const MIN_FLUSH_CHECKS = 3;

export type StopOptions = Readonly<{
  clock: Clock;
  /** Number of requests without a whole answer that was flushed. */
  countOpen: () => number;
  /** Number of connections that are being closed behind their last answers. */
  countClosing: () => number;
  /** When the shutdown has to end; may become earlier meanwhile. */
  getEnds: () => StopEnds;
  /** Removes the box from the list of boxes. */
  leave: () => Promise<void>;
  onLeaveFailure: (error: unknown) => void;
  /** Answers all requests whose answer has not begun; those that are read from now on are refused at once. */
  endUnanswered: () => void;
  /** Breaks off the answers that have begun. */
  breakBegun: () => void;
}>;

/**
 * Leaves the list once nothing is open. Resolves when nothing has come meanwhile, or when the time is over; then no answer is
 * open, and the connections may be closed.
 */
export const stopInOrder = async (options: StopOptions): Promise<void> => {
  const { clock, countOpen, countClosing, getEnds } = options;
  const begunAt = clock.monotonic();
  let hasLeft = false;
  let leaving: Promise<void> | undefined;

  // What has arrived when a process is late is read before its time counts as over.
  const wait = (duration: Ms) =>
    new Promise<void>((resolve) => void clock.setTimeLimit(duration, resolve));
  const countLeftMs = (end: keyof StopEnds) => getEnds()[end] - clock.monotonic();
  const leaveOnce = () => {
    leaving ??= options
      .leave()
      .catch(options.onLeaveFailure)
      .finally(() => (hasLeft = true));
  };
  /** The store may be silent for longer than this box has. */
  const isServed = () => {
    if (clock.monotonic() - begunAt < STILL_LISTED_MS || countOpen() > 0) return false;
    leaveOnce();
    return hasLeft;
  };
  const waitUntilServed = async () => {
    while (!isServed() && countLeftMs("answersEndAt") > 0)
      await wait(Math.min(CHECK_INTERVAL_MS, countLeftMs("answersEndAt")) as Ms);
  };
  const isFlushed = () => hasLeft && countOpen() === 0 && countClosing() === 0;
  /** Takes no longer than at the end of the time, although clients may leave their side of connections open. */
  const waitUntilFlushed = async () => {
    const { answersEndAt, closesAt } = getEnds();
    const latestAt = clock.monotonic() + closesAt - answersEndAt;
    const isOver = () => countLeftMs("closesAt") <= 0 || clock.monotonic() >= latestAt;
    for (let checks = 0; ; checks += 1) {
      if (checks >= MIN_FLUSH_CHECKS && (isFlushed() || isOver())) return;
      await wait(FLUSH_INTERVAL_MS);
    }
  };

  await waitUntilServed();
  leaveOnce();
  options.endUnanswered();
  await waitUntilFlushed();
  options.breakBegun();
};
