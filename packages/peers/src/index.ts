/** Communication between boxes: placed runs, leaving servers, limits, crashes and tables of the store. */
export type * from "./types.js";
export { applyUpdate } from "./applyUpdate.js";
export { encodePlaceAnswer, encodePlaceQuestion } from "./adviceCodec.js";
export { decodeUpdate, encodeUpdate } from "./updateCodec.js";
export type { AnswerSources } from "./answerTable.js";
export { answerTable } from "./answerTable.js";
export { createSharedReader } from "./sharedReader.js";
export type { EjectionReason, SharedReaderOptions } from "./sharedReader.js";
export { createBoxRestoreRules } from "./boxRestoreRules.js";
export { createMembership } from "./membership.js";
export type { Membership, MembershipOptions } from "./membership.js";
export { createPeerLinks } from "./peerLinks.js";
export type { PeerLinks, PeerLinksOptions } from "./peerLinks.js";
export { hasUnsettled, makeNotice } from "./makeNotice.js";
export { makeRunUpdate } from "./makeRunUpdate.js";
export { createPeerServer } from "./peerServer.js";
export type { PeerServer, PeerServerOptions } from "./peerServer.js";
export type { PeerLimit, PeerLimits } from "./peerConnections.js";
export { createWatchShares } from "./watchShares.js";
export type { WatchShares } from "./watchShares.js";
export { createRunReporter } from "./runReporter.js";
export type { RunReporter, RunReporterOptions } from "./runReporter.js";
export { countHubs, hasHubs } from "./hubs.js";
export { createAdmittingAsker } from "./admittingAsker.js";
export type {
  AdmittingAsker,
  AdmittingAskerOptions,
  AdmittingBox,
} from "./admittingAsker.js";
export { createHubAsker } from "./hubAsker.js";
export type { AskScope, HubAsker, HubAskerOptions } from "./hubAsker.js";
export type { CarrierLinks } from "./carrierLinks.js";
export type { OddPart, PeerMessage } from "./service.js";
