/** Forwards clients' requests to backend servers, and the answers back, unchanged. */
export type * from "./types.js";
export type { AdmittedRequest } from "./admittedRequest.js";
export type { ConfigurationView } from "./configurationView.js";
export type {
  ForwardDecision,
  ForwardObserver,
  StreamHandover,
} from "./forwardDecision.js";
export type { ForwarderDeps } from "./forwarderTypes.js";
export type { Placer } from "./placer.js";
export type { Framing, ServerStatus } from "./describeAnswerEnd.js";
export { createActiveRuns } from "./activeRuns.js";
export type {
  ActiveRun,
  ActiveRuns,
  ContinuationOutcome,
  RunContinuation,
  RunKeeper,
  RunStop,
} from "./activeRuns.js";
export { createBoundedListener } from "./boundedListener.js";
export type { BoundedListener, ListenerLimits } from "./boundedListener.js";
export { createClientServer } from "./clientServer.js";
export type { ClientServer, ClientServerOptions } from "./clientServer.js";
export type { ClientLimit } from "./connectionReader.js";
export {
  createHeldBody,
  createOverheadMeter,
  describeExcess,
  HELD_BODY_LIMITS,
  type AnswerExcess,
  type HeldBodyLimits,
} from "./answerLimits.js";
export { createForwarder } from "./createForwarder.js";
export type { Forwarder } from "./createForwarder.js";
export { createServerExchanges } from "./serverExchanges.js";
export type { OpenOwnExchange, ServerExchanges } from "./serverExchanges.js";
export type { CarryEvent } from "./carriedExchange.js";
export { createCarryForOthers } from "./carryForOthers.js";
export type { SmallPieces } from "./answerReader.js";
export { openExchange } from "./openExchange.js";
export type { ExchangeRequest, OpenBuilt } from "./openExchange.js";
export { probePath } from "./probePath.js";
export { createRetryBudget } from "./retryBudget.js";
export type { RetryBudget, RetryBudgetLimits } from "./retryBudget.js";
export { computeByteLimits } from "./computeByteLimits.js";
export type { ByteLimits, SetByteLimits } from "./computeByteLimits.js";
export {
  computeClientConnections,
  computePeerConnections,
} from "./computeClientConnections.js";
export { computePlacingTerms, hasCapacityFor, placeOrWait } from "./placeOrWait.js";
export type { GenerationQueue, PlacingTerms } from "./placeOrWait.js";
export type { Advice, AdviceRequest, PlacementAdvisor } from "./placeByAdvice.js";
export type { PaceObserver } from "./observePace.js";
export { placePlainRequest } from "./placePlainRequest.js";
export type { PlainAdmission, PlainAdvice, PlainRequest } from "./placePlainRequest.js";
export { computeSlackShare } from "./computeSlackShare.js";
