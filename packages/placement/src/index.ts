/** Which server takes a request. */
export type * from "./types.js";
export { createLoadBook } from "./loadBook.js";
export type { KeptReport, LoadBook, PlacedRun } from "./loadBook.js";
export { chooseServer, estimateMemory } from "./chooseServer.js";
export type { ChoiceInputs, MemoryView } from "./chooseServer.js";
