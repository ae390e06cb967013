/** Final answers that the box generates itself for one request; ignored once the request has ended. */
import type { Ms } from "@stairgauge/common";
import type { FoundBlock } from "@stairgauge/crashes";
import type { PlacementDecision } from "@stairgauge/placement";
import { computeRetryAfter } from "./computeRetryAfter.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { RefusalReason } from "./forwardDecision.js";
import type { ForwarderDeps } from "./forwarderTypes.js";
import {
  makeBlockedAnswer,
  makeCapacityAnswer,
  REFUSAL_OF_NO_SERVER,
  sendOwnAnswer,
  type RefusedForCapacity,
  type ReasonedAnswer,
} from "./sendOwnAnswer.js";

/** Options of the answers. */
export type OwnAnswersOptions = Readonly<{
  deps: Pick<ForwarderDeps, "clock" | "codec" | "observer" | "retryAfter">;
  request: AdmittedRequest;
  isOver: () => boolean;
  /** Ends the request. */
  finish: () => void;
}>;

/** A placement decision that found no server. */
export type NoServerDecision = Extract<PlacementDecision, { kind: "no_server" }>;

/** Creates the answers of one request. */
export const createOwnAnswers = (options: OwnAnswersOptions) => {
  const { deps, request, isOver, finish } = options;
  const sendAndFinish = (ownAnswer: ReasonedAnswer) => {
    if (isOver()) return;
    sendOwnAnswer(deps, request, ownAnswer);
    finish();
  };
  const answerNotRun = (reason: RefusalReason, detail?: string) =>
    sendAndFinish({ status: 503, reason, detail, retryAfter: deps.retryAfter });

  return {
    /** The request has not run; the client may retry it. */
    answerNotRun,
    /** The request may have run. */
    answerUnknown: (reason: RefusalReason, detail?: string) =>
      sendAndFinish({ status: 502, reason, detail, retryAfter: undefined }),
    answerOutOfTime: () =>
      sendAndFinish({ status: 504, reason: "out_of_time", retryAfter: undefined }),
    /** The request has not run; the retry delay is the decision's, if it has one. */
    answerNoServer: (decision: NoServerDecision) =>
      sendAndFinish({
        status: 503,
        reason: REFUSAL_OF_NO_SERVER[decision.reason],
        // A stream whose version is gone can't go on later; its client may begin anew at once.
        retryAfter:
          decision.reason === "none_of_version"
            ? undefined
            : computeRetryAfter(decision, deps.retryAfter),
      }),
    /** This box stops before the request could be answered; it has not run. */
    answerStopping: (retryAfter: Ms) =>
      sendAndFinish({ status: 503, reason: "box_is_stopping", retryAfter }),
    /** No server has capacity for the request in time. */
    answerNoCapacity: (refusal: RefusedForCapacity, mayHaveRun: boolean) =>
      sendAndFinish(makeCapacityAnswer(refusal, mayHaveRun)),
    answerBlocked: (block: FoundBlock, mayHaveRun: boolean) =>
      sendAndFinish(makeBlockedAnswer(block, mayHaveRun)),
  };
};

/** The answers of one request. */
export type OwnAnswers = ReturnType<typeof createOwnAnswers>;
