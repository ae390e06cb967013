/** Boxes that tell each other what they have placed where. */
export type * from "./types.js";
export { applyUpdate } from "./applyUpdate.js";
export type { AnswerSources } from "./answerTable.js";
export { answerTable } from "./answerTable.js";
export { createSharedReader } from "./sharedReader.js";
export type { DistrustReason, SharedReaderOptions } from "./sharedReader.js";
export { createMembership } from "./membership.js";
export type { Membership, MembershipOptions } from "./membership.js";
export { createPeerLinks } from "./peerLinks.js";
export type { PeerLinks, PeerLinksOptions } from "./peerLinks.js";
export { createPeerServer } from "./peerServer.js";
export type { PeerServer, PeerServerOptions } from "./peerServer.js";
export { createWatchShares } from "./watchShares.js";
export type { WatchShares } from "./watchShares.js";
export { createRunTeller } from "./runTeller.js";
export type { RunTeller, RunTellerOptions } from "./runTeller.js";
export { createHubAsker } from "./hubAsker.js";
export type { HubAsker, HubAskerOptions } from "./hubAsker.js";
