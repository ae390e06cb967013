/** The HTTP API for callers: generations, models and plain services. */
export { createAnswerRegistry } from "./answerRegistry.js";
export { createEntryServer } from "./entryServer.js";
export type { AnswerRegistry, EntryDeps } from "./types.js";
