/** From boxes' log lines to the cause of what each request met. */
export type * from "./types.js";
export { collectAccounts, countLosses } from "./accountRequests.js";
export type { LossCount } from "./accountRequests.js";
export { buildChronicle } from "./buildChronicle.js";
export { explainRequest } from "./explainRequest.js";
export type { Explanation, ExplainedStep } from "./explainRequest.js";
export { describeCause } from "./judgeCause.js";
export { parseLogLine } from "./parseLogLine.js";
export { renderLossPlot } from "./plotLosses.js";
export { readLogs } from "./readLogs.js";
export type { FaultCounts, LogFailure, LogSet } from "./readLogs.js";
