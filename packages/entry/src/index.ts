/** The callers' interface. */
export { createAnswerRegistry } from "./answerRegistry.js";
export { createEntryServer } from "./entryServer.js";
export type { AnswerRegistry, EntryDeps } from "./types.js";
