/** Advances a virtual clock and runs pending promise callbacks between its timers. */
import type { Ms } from "./types.js";
import type { VirtualClock } from "./virtualClock.js";

/** Microtask turns to wait for; enough for the longest promise chain to settle. */
const SETTLE_TURNS = 12;

const settle = async (): Promise<void> => {
  for (let i = 0; i < SETTLE_TURNS; i += 1) await Promise.resolve();
};

/** Advances the clock by `duration`; promise callbacks of each timer run before the next timer fires. */
export const advanceSettled = async (
  clock: VirtualClock,
  duration: Ms,
): Promise<void> => {
  const endsAt = clock.now() + duration;
  await settle();
  for (
    let at = clock.getNextAt();
    at !== undefined && at <= endsAt;
    at = clock.getNextAt()
  ) {
    clock.step();
    await settle();
  }
  clock.advance((endsAt - clock.now()) as Ms);
  await settle();
};
