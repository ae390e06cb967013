/** Test helpers: sites of separate processes, a streaming client and a fake engine. */
export { spawnProcess } from "./spawnProcess.js";
export type { SpawnedProcess } from "./spawnProcess.js";
export { takePort } from "./takePort.js";
export { createBoxForEngine, createProcessSite, spawnStandin } from "./processSite.js";
export type {
  BoxProcess,
  ProcessSite,
  ProcessSiteOptions,
  StandinProcess,
} from "./processSite.js";
export { readStream } from "./readStream.js";
export type { AnswerEvent, StreamRequest, StreamView } from "./readStream.js";
export { createFakeEngine } from "./fakeEngine.js";
export type { FakeEngine, FakeLink } from "./fakeEngine.js";
export { createShareKeeper } from "./processorShare.js";
export type { ShareKeeper } from "./processorShare.js";
