/** Finds out from the log lines of boxes how each request ended and why. */
export type * from "./types.js";
export { collectAccounts, countLosses } from "./collectAccounts.js";
export type { LossCount } from "./collectAccounts.js";
export { buildTimeline } from "./buildTimeline.js";
export { explainRequest } from "./explainRequest.js";
export type { Explanation, ExplainedStep } from "./explainRequest.js";
export { describeCause } from "./classifyCause.js";
export { parseLogLine } from "./parseLogLine.js";
export { renderLossPlot } from "./plotLosses.js";
export { readLogs } from "./readLogs.js";
export type { FaultCounts, LogFailure, LogSet } from "./readLogs.js";
