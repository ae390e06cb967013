/** What one box knows of the fleet: configuration, servers and their load, each kept by following its source. */
export { createConfigurationSink } from "./followConfiguration.js";
export type { ConfigurationEvent } from "./followConfiguration.js";
export { createClosedHallsSink, withRowSink } from "./followClosedHalls.js";
export type { HallEvent } from "./followClosedHalls.js";
export { createServerSink } from "./followServers.js";
export type { ServerListEvent } from "./followServers.js";
export { createPlacer } from "./createPlacer.js";
export type { FleetPlacer, PlacerOptions } from "./createPlacer.js";
export { createExposureJudge } from "./judgeExposure.js";
export type { ExposureJudge, ExposureJudgeOptions } from "./judgeExposure.js";
export { createMovePlanner } from "./planMoves.js";
export type { MoveFacts, MovePlanner, MovePlannerOptions } from "./planMoves.js";
export { createReportPoller } from "./pollReports.js";
export type { ReportPoller, ReportPollerOptions } from "./pollReports.js";
export { createPlaceHub } from "./adviseOthers.js";
export type { GivenAdvice, PlaceHub, PlaceHubOptions } from "./adviseOthers.js";
