/** Stand-ins for the systems that stairgauge works with, for tests, benchmarks and trying it out. */
export { createEngineModel } from "./engineModel.js";
export type { EngineModel } from "./engineModel.js";
export { createEngineHost } from "./engineHost.js";
export type { EngineHost, EngineHostOptions } from "./engineHost.js";
export { createEngineRoutes } from "./engineRoutes.js";
export type { EngineProfile, SequenceStart, StepResult } from "./engineTypes.js";
export { createPlatformModel } from "./platformModel.js";
export type { PlatformMode, PlatformModel } from "./platformModel.js";
export { createMemoryEngines } from "./memoryEngines.js";
export type { MemoryEngines } from "./memoryEngines.js";
export { createMemoryPlatform } from "./memoryPlatform.js";
export { createPlatformRoutes } from "./platformRoutes.js";
export { createServiceRoutes } from "./serviceRoutes.js";
export { createStandinServer } from "./standinServer.js";
export {
  buildExampleBundle,
  EXAMPLE_ENGINE,
  EXAMPLE_KEY,
  OTHER_EXAMPLE_KEY,
  seedExampleBundle,
  signExampleBundle,
} from "./exampleSite.js";
export type { ExampleAddresses, SignedBundle } from "./exampleSite.js";
export { generateToken } from "./syntheticText.js";
export {
  SITE_HALL,
  SITE_HOST,
  SITE_KEY,
  SITE_WORKSPACE,
  startUsersSite,
} from "./usersPlatform/usersSite.js";
export type { UsersSite, UsersSiteSize } from "./usersPlatform/usersSite.js";
export { sendRequests } from "./usersPlatform/sendRequests.js";
export type { RequestKind, RequestSeries } from "./usersPlatform/sendRequests.js";
export { formatBoxSettings } from "./usersPlatform/formatBoxSettings.js";
export { startUsersEventSource } from "./usersPlatform/usersEventSource.js";
export { formatEngineEvent } from "./usersPlatform/usersEngine.js";
export { listenOnLoopback, readWhole, sendJson } from "./usersPlatform/loopback.js";
export { reservePort } from "./usersPlatform/reservePort.js";
export { IDLE_REPORT } from "./usersPlatform/wireRequests.js";
export { formatServiceBody } from "./usersPlatform/usersService.js";
export type { ServiceFault } from "./usersPlatform/usersService.js";
export {
  createScriptedEngines,
  formatStreamHead,
} from "./usersPlatform/scriptedEngines.js";
export type {
  EngineScript,
  ScriptedCall,
  ScriptedEngine,
  ScriptedEngines,
} from "./usersPlatform/scriptedEngines.js";
export {
  CRASHING_BODY,
  CRASHING_PART,
  startCrashingServers,
} from "./usersPlatform/crashingServers.js";
export type { CrashingKind, CrashingServers } from "./usersPlatform/crashingServers.js";
export {
  findEventVersion,
  startVersionedEngines,
} from "./usersPlatform/versionedEngines.js";
export type { EngineStart, VersionedEngines } from "./usersPlatform/versionedEngines.js";
export { countSentWhileLeaving, LEAVING_MS } from "./usersPlatform/leavingRule.js";
export type { LeavingArrival } from "./usersPlatform/leavingRule.js";
export { startSignalServers } from "./usersPlatform/signalServers.js";
export type {
  SignalArrival,
  SignalServerKind,
  SignalServers,
  LimitChoice,
  SignalChoice,
  AnswerSignal,
} from "./usersPlatform/signalServers.js";
export {
  computeMaxRequests,
  countMaxInWindow,
  LIMIT_CONTACT_MS,
} from "./usersPlatform/limitRule.js";
export type { CountedArrival } from "./usersPlatform/limitRule.js";
export {
  countMaxInBackoff,
  MAX_REQUESTS_IN_BACKOFF,
} from "./usersPlatform/backoffRule.js";
export type { BackoffArrival } from "./usersPlatform/backoffRule.js";
export { formatStreamQuery, startWireEngine } from "./usersPlatform/wireEngine.js";
export type { WireStreamOptions, StartTimeLocation } from "./usersPlatform/wireEngine.js";
