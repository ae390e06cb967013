/** Logs and metrics. */
export { createLogger } from "./logger.js";
export type { Logger, LoggerOptions, LogLevel } from "./logger.js";
export { createMetrics } from "./metrics.js";
export type { Metrics } from "./metrics.js";
