/** What the steps of one dispatch share, and the steps that they take from each other. */
import type { BackendServer } from "@stairgauge/directory";
import type { EventSampler } from "@stairgauge/pace";
import type { Demand } from "@stairgauge/placement";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { Attempt } from "./attempt.js";
import type { DispatchReports, PreviousServer } from "./createDispatchReports.js";
import type { OwnAnswers } from "./createOwnAnswers.js";
import type { AttemptEnd } from "./decideNext.js";
import type { DispatchState } from "./dispatchState.js";
import type { DispatchDeps } from "./forwarderTypes.js";
import type { CallGuard } from "./guardCall.js";
import type { RequestAttempts } from "./requestAttempts.js";
import type { RunStep } from "./runStep.js";
import type { StreamRelay } from "./streamRelay.js";
import type { AnswerHead, DispatchTerms, ExchangeFailure } from "./types.js";

/** The parts of one dispatch. */
export type DispatchParts = Readonly<{
  deps: DispatchDeps;
  request: AdmittedRequest;
  demand: Demand;
  state: DispatchState;
  relay: StreamRelay;
  /** Samples the gaps between the events of the stream. */
  sampler: EventSampler;
  reports: DispatchReports;
  guard: CallGuard;
  attempts: RequestAttempts;
  ownAnswers: OwnAnswers;
  runStep: RunStep;
}>;

/** Ends a dispatch; what ends it first decides. */
export type EndingSteps = Readonly<{
  finish: () => void;
  /** Breaks off the answer of a stream that cannot go on. */
  failStream: (previous: PreviousServer, detail: string) => void;
}>;

/** Makes another attempt. */
export type RetryingSteps = Readonly<{
  /** Places the request again after a failed attempt. */
  attemptNext: () => void;
}>;

/** Sends the request to a server. */
export type SendingSteps = Readonly<{
  openAt: (
    server: BackendServer,
    continuation?: DispatchTerms["continuation"],
  ) => Attempt;
}>;

/** Evaluates the answer of an attempt. */
export type ConcludingSteps = Readonly<{
  handleHead: (attempt: Attempt, head: AnswerHead) => void;
  handleStreamBegun: (attempt: Attempt) => void;
  handleFailure: (attempt: Attempt, failure: ExchangeFailure) => void;
  finishWhole: (attempt: Attempt) => void;
  /** Concludes by the head of the answer; its body was not read to the end. */
  concludeByHead: (attempt: Attempt) => void;
}>;

/** Continues an interrupted stream. */
export type ContinuingSteps = Readonly<{
  continueElsewhere: (attempt: Attempt, end: AttemptEnd) => void;
  handleContinuationFailure: (attempt: Attempt, end: AttemptEnd) => void;
}>;
