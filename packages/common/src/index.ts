/** Ids, units, clocks, random numbers and results for every other package. */
export * from "./types.js";
export { toHostAndPort } from "./toHostAndPort.js";
export type { HostAndPort } from "./toHostAndPort.js";
export { assertNever } from "./assertNever.js";
export { Err, Ok } from "./result.js";
export type { Result } from "./result.js";
export { createSystemClock, toBoottimeClock } from "./clock.js";
export type { Clock, Timer } from "./clock.js";
export { createVirtualClock } from "./virtualClock.js";
export type { VirtualClock } from "./virtualClock.js";
export { createSeededRandom, createSystemRandom } from "./random.js";
export type { Random } from "./random.js";
export { waitFor } from "./waitFor.js";
export { connectTcp } from "./dialer.js";
export type { Dialer } from "./dialer.js";
export { advanceSettled } from "./advanceSettled.js";
export { createPoller } from "./poller.js";
export type { Poller } from "./poller.js";
