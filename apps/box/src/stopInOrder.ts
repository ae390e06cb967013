/** Waits until a stopping box has served what it took, or its time is over. */
import type { Clock, Ms } from "@stairgauge/common";

/** Until then clients may still be sent here: two questions a second apart, and the way. */
const STILL_FOUND_MS = 3_500;
/** The end comes this long before the process would be killed. */
const END_MARGIN_MS = 250;
const LOOK_INTERVAL_MS = 100 as Ms;

/** What stopping needs. */
export type StopOptions = Readonly<{
  clock: Clock;
  countOpen: () => number;
  grace: Ms;
  /** Takes the box out of the list of boxes. */
  leave: () => Promise<void>;
}>;

/** Leaves once nothing is open any more, and resolves when nothing has come meanwhile, or shortly before `grace` ends. */
export const stopInOrder = async (options: StopOptions): Promise<void> => {
  const { clock, countOpen, grace, leave } = options;
  const begunAt = clock.monotonic();

  const waitUntilServed = () =>
    new Promise<void>((resolve) => {
      const look = () => {
        const passed = clock.monotonic() - begunAt;
        const isServed = passed >= STILL_FOUND_MS && countOpen() === 0;
        if (isServed || passed >= grace - END_MARGIN_MS) resolve();
        else clock.setTimer(LOOK_INTERVAL_MS, look);
      };
      look();
    });

  await waitUntilServed();
  await leave();
  // A request that comes during that call would be cut off though its server runs it.
  await waitUntilServed();
};
