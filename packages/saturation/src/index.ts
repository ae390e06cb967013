/** Whether a box has the processor time that its work needs. */
export { createArrivals } from "./createArrivals.js";
export type { Arrivals } from "./createArrivals.js";
export type { Backlog, UnreadReason } from "./backlog.js";
export { createUnreadLimit } from "./createUnreadLimit.js";
export type { UnreadLimit } from "./createUnreadLimit.js";
export { FEW_CHUNKS, MAX_PIECE_BYTES, SHORT_READ_BYTES } from "./constants.js";
export { createReadTurns } from "./createReadTurns.js";
export type { PendingReader, ReadPace, ReadPiece, ReadTurns } from "./createReadTurns.js";
export { createIntake } from "./createIntake.js";
export type { Intake } from "./createIntake.js";
export { createLoopMeter } from "./loopMeter.js";
export type { LoopMeter } from "./loopMeter.js";
export { readLoop } from "./readLoop.js";
export type { LoopReading, LoopWindow, SaturationEvent } from "./types.js";
