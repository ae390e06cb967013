/** Stops this process as a suspension does, for tests. */
import type { Ms } from "./types.js";

/** Keeps the event loop from running for `duration`; what arrives meanwhile waits in the kernel. */
export const stopEventLoop = (duration: Ms): void => {
  const until = performance.now() + duration;
  while (performance.now() < until);
};
