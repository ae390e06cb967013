/** Shutdown of a box: waits until its open requests have ended, or its time is over. */
import type { Clock, Ms } from "@stairgauge/common";

/**
 * Time after the start of the shutdown in which clients may still be sent here: two health
 * checks a second apart, and the network delay.
 */
const STILL_LISTED_MS = 3_500;
/** Margin before the process would be killed. */
const END_MARGIN_MS = 250;
const CHECK_INTERVAL_MS = 100 as Ms;

export type StopOptions = Readonly<{
  clock: Clock;
  countOpen: () => number;
  grace: Ms;
  /** Removes the box from the list of boxes. */
  leave: () => Promise<void>;
  onLeaveFailure: (error: unknown) => void;
}>;

/**
 * Leaves the list once nothing is open. Resolves when nothing has come meanwhile, or shortly
 * before `grace` ends.
 */
export const stopInOrder = async (options: StopOptions): Promise<void> => {
  const { clock, countOpen, grace, leave, onLeaveFailure } = options;
  const begunAt = clock.monotonic();

  const waitUntilServed = () =>
    new Promise<void>((resolve) => {
      const check = () => {
        const passed = clock.monotonic() - begunAt;
        const isServed = passed >= STILL_LISTED_MS && countOpen() === 0;
        if (isServed || passed >= grace - END_MARGIN_MS) resolve();
        else clock.setTimer(CHECK_INTERVAL_MS, check);
      };
      check();
    });

  await waitUntilServed();
  await leave().catch(onLeaveFailure);
  // Without a second wait, a request that arrives during this call would be cut off while its
  // server runs it.
  await waitUntilServed();
};
