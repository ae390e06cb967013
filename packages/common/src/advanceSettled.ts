/** Moves a virtual clock while promises settle between its timers. */
import type { Ms } from "./types.js";
import type { VirtualClock } from "./virtualClock.js";

/** Turns of the microtask queue that a chain of promises may need to come to rest. */
const SETTLE_TURNS = 12;

const settle = async (): Promise<void> => {
  for (let i = 0; i < SETTLE_TURNS; i += 1) await Promise.resolve();
};

/** Advances by `duration` milliseconds; what timers resolve is run before the next timer. */
export const advanceSettled = async (
  clock: VirtualClock,
  duration: Ms,
): Promise<void> => {
  const end = clock.now() + duration;
  await settle();
  for (
    let at = clock.getNextAt();
    at !== undefined && at <= end;
    at = clock.getNextAt()
  ) {
    clock.step();
    await settle();
  }
  clock.advance((end - clock.now()) as Ms);
  await settle();
};
