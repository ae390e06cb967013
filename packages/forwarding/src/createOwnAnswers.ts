/** Final answers of the system's own to one request; what comes after its end is dropped. */
import type { Ms } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";
import { computeRetryAfter } from "./computeRetryAfter.js";
import type { AdmittedRequest, ForwarderDeps, RefusalReason } from "./forwarderTypes.js";
import {
  makeBlockedAnswer,
  REFUSAL_OF_NO_SERVER,
  sendOwnAnswer,
  type ReasonedAnswer,
} from "./sendOwnAnswer.js";

/** What they are made of. */
export type OwnAnswersParts = Readonly<{
  deps: Pick<ForwarderDeps, "clock" | "codec" | "observer" | "retryAfter">;
  request: AdmittedRequest;
  isOver: () => boolean;
  /** Ends the request. */
  finish: () => void;
}>;

/** A choice that found no server. */
export type NoServerDecision = Extract<PlacementDecision, { kind: "no_server" }>;

/** Creates the answers of one request. */
export const createOwnAnswers = (parts: OwnAnswersParts) => {
  const { deps, request, isOver, finish } = parts;
  const answerOwn = (own: ReasonedAnswer) => {
    if (isOver()) return;
    sendOwnAnswer(deps, request, own);
    finish();
  };
  const answerNotRun = (reason: RefusalReason, detail?: string) =>
    answerOwn({ status: 503, reason, detail, retryAfter: deps.retryAfter });

  return {
    /** It has not run, and may come back. */
    answerNotRun,
    /** Nothing is promised. */
    answerUnknown: (reason: RefusalReason, detail?: string) =>
      answerOwn({ status: 502, reason, detail, retryAfter: undefined }),
    answerOutOfTime: () =>
      answerOwn({ status: 504, reason: "out_of_time", retryAfter: undefined }),
    /** It has not run; where it is known when a server takes it, it may come back then. */
    answerNoServer: (decision: NoServerDecision) =>
      answerOwn({
        status: 503,
        reason: REFUSAL_OF_NO_SERVER[decision.reason],
        retryAfter: computeRetryAfter(decision, deps.retryAfter),
      }),
    /** It goes to no server for so long. */
    answerBlocked: (left: Ms, mayHaveRun: boolean) =>
      answerOwn(makeBlockedAnswer(left, mayHaveRun)),
  };
};
