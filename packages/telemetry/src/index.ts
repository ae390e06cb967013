/** Logs and metrics. */
export { createLogger } from "./logger.js";
export type { Logger, LoggerOptions, LogLevel } from "./logger.js";
export { createMetrics } from "./metrics.js";
export type { Metrics } from "./metrics.js";
export { createDecisionLog } from "./decisionLog.js";
export type { DecisionLog, DecisionLogOptions } from "./decisionLog.js";
export { createBoxMetrics } from "./boxMetrics.js";
export type { BoxMetrics } from "./boxMetrics.js";
