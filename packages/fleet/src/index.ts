/**
 * One box's view of the fleet: configuration, servers and their load, each kept up to date by
 * following its source, and the placement decisions made from it.
 */
export { createConfigurationSink } from "./followConfiguration.js";
export type { ConfigurationEvent } from "./followConfiguration.js";
export { createClosedHallsSink, withRowSink } from "./followClosedHalls.js";
export type { HallEvent } from "./followClosedHalls.js";
export { createServerSink } from "./followServers.js";
export { createOperatorRestoreRules, createServerRestoreRules } from "./restoreRules.js";
export type { ServerListEvent } from "./followServers.js";
export { createColdLimits } from "./coldLimits.js";
export type { ColdBound, ColdLimits } from "./coldLimits.js";
export { createColdPeriods } from "./coldPeriods.js";
export type { ColdPeriods } from "./coldPeriods.js";
export { createPlacer } from "./createPlacer.js";
export type { FleetPlacer, PlacerOptions } from "./createPlacer.js";
export { observePrompts } from "./observePrompts.js";
export type { PromptObserverOptions } from "./observePrompts.js";
export { createExposureClassifier } from "./runExposure.js";
export type { ExposureClassifier, ExposureClassifierOptions } from "./runExposure.js";
export { createMovePlanner } from "./planMoves.js";
export type { MoveFacts, MovePlanner, MovePlannerOptions } from "./planMoves.js";
export { createReportPoller } from "./pollReports.js";
export type { ReportPoller, ReportPollerOptions } from "./pollReports.js";
export { createPlainAdmitter } from "./admitPlain.js";
export type {
  PlainAdmitter,
  PlainAdmitterOptions,
  PlainDecision,
  PlainEntry,
} from "./admitPlain.js";
export { createPlainHub } from "./plainHub.js";
export type { PlainHub, PlainHubOptions, PlainQuestion } from "./plainHub.js";
export { createSafeChoice } from "./safeChoice.js";
export type { SafeChoice, SafeChoiceOptions } from "./safeChoice.js";
export { createPlaceHub } from "./placeHub.js";
export type { GivenAdvice, PlaceHub, PlaceHubOptions } from "./placeHub.js";
