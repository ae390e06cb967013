/**
 * Decides what follows an attempt: its answer is forwarded, another server is tried, or the box answers
 * itself. Pure.
 */
import type { Route } from "@stairgauge/routing";
import type { ContinuationOutcome } from "./activeRuns.js";
import type { Attempt } from "./attempt.js";
import { mayRepeat } from "./mayRepeat.js";
import type {
  AnswerHead,
  ClientRequestId,
  ExchangeFailure,
  RequestHead,
} from "./types.js";

/** How an attempt ended of which nothing was forwarded to the client. */
export type AttemptEnd = Readonly<
  | {
      kind: "answered";
      head: AnswerHead;
      /** Only the head was evaluated: the body may be truncated or too long, and must not be forwarded. */
      isBodyUnproven?: boolean;
    }
  | { kind: "failed"; failure: ExchangeFailure }
>;

/** What an attempt's end proves about the request. */
export type Verdict =
  /** The server's answer is forwarded to the client unchanged. */
  | "final"
  /** The server did not run the request and never will. */
  | "not_run"
  /** The request may have run; the answer must not be forwarded. */
  | "may_have_run"
  /** The request ran and failed; the answer may be forwarded. */
  | "ran_and_failed";

/** The next step. */
export type NextStep = Readonly<
  | { kind: "pass_on" }
  | { kind: "retry"; reason: Verdict }
  /** The request has not run: the client may retry. */
  | { kind: "answer_not_run" }
  /** The request may have run: the answer promises nothing. */
  | { kind: "answer_unknown" }
>;

/**
 * Statuses by which a client may conclude that its request has not run. A server's answer with one of
 * them is not forwarded unless the server states that it did not run the request.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isSuccess = (status: number) => status >= 200 && status < 300;

/** Whether the answer belongs to this request and was not changed on its way. */
const isTrustworthy = (head: AnswerHead, id: ClientRequestId | undefined): boolean => {
  if (head.requestId !== undefined && head.requestId !== id) return false;
  if (head.isEncoded) return false;
  return !isSuccess(head.status) || head.isSigned;
};

/** Whether the attempt ended before anything could be sent, for a reason that is not the server's. */
export const isUnsendable = (end: AttemptEnd): boolean =>
  end.kind === "failed" && end.failure.kind === "unsendable";

/** Whether nothing was sent to the server. */
const isUnsent = ({ kind }: ExchangeFailure): boolean =>
  kind === "unreachable" || kind === "unsendable";

/** Decides what an attempt's end proves. */
export const decideVerdict = (
  end: AttemptEnd,
  id: ClientRequestId | undefined,
): Verdict => {
  if (end.kind === "failed") return isUnsent(end.failure) ? "not_run" : "may_have_run";
  const { head } = end;
  if (!isTrustworthy(head, id)) return "may_have_run";
  if (head.isNotRun || head.isOtherServer) return "not_run";
  if (NOT_RUN_STATUSES.has(head.status)) return "may_have_run";
  return head.status >= 500 ? "ran_and_failed" : "final";
};

/** Whether the server rejected the request for lack of capacity; another server may have some. */
export const isTurnedAway = ({ status, isNotRun }: AnswerHead): boolean =>
  status === 503 && isNotRun;

/**
 * Whether the server rejected the request because its slots and its queue are full. A server that
 * leaves, asks for a backoff or names a limit rejects requests for another reason.
 */
export const isFullRejection = (head: AnswerHead): boolean =>
  isTurnedAway(head) &&
  head.signals.rest.kind !== "asked" &&
  head.signals.leaving.kind !== "leaving" &&
  head.signals.limit.kind !== "named";

/** Whether the answer, once complete, belongs to the request and is a success. */
export const isServed = (head: AnswerHead, id: ClientRequestId | undefined): boolean =>
  isSuccess(head.status) && decideVerdict({ kind: "answered", head }, id) === "final";

/** Whether the next step depends on the body; for a rejection or an unusable answer the head is enough. */
export const isBodyNeeded = (
  head: AnswerHead,
  id: ClientRequestId | undefined,
): boolean => {
  const verdict = decideVerdict({ kind: "answered", head }, id);
  return verdict === "final" || verdict === "ran_and_failed";
};

/** Whether the body ended with its connection and was not checked for completeness, as the head was enough. */
export const isBodyUnproven = (
  { endedBy, head }: Pick<Attempt, "endedBy" | "head">,
  id: ClientRequestId | undefined,
): boolean => endedBy === "connection" && !isBodyNeeded(head!, id);

/** Inputs of the question whether an answer's head decides. */
export type HeadInputs = Readonly<{
  head: AnswerHead;
  id: ClientRequestId | undefined;
  route: Route;
  /** Whether another attempt would be possible and allowed after this verdict. */
  mayRetryAfter: (verdict: Verdict) => boolean;
}>;

/** Whether the head decides what follows, so that the body need not be awaited: it will not be forwarded. */
export const isDecidedByHead = ({
  head,
  id,
  route,
  mayRetryAfter,
}: HeadInputs): boolean => {
  const verdict = decideVerdict({ kind: "answered", head }, id);
  switch (verdict) {
    case "final":
      return false;
    case "may_have_run":
      return true;
    case "not_run":
      return head.isOtherServer || mayRetryAfter(verdict);
    case "ran_and_failed":
      return mayRepeat(route) && mayRetryAfter(verdict);
  }
};

/** Converts the end of a failed continuation to the outcome that is reported to the run keeper. */
export const toContinuationOutcome = (end: AttemptEnd): ContinuationOutcome =>
  end.kind === "answered"
    ? { kind: "refused", status: end.head.status }
    : { kind: "broken", detail: end.failure.detail };

/** Describes how an attempt ended, for logs and error details. */
export const describeEnd = (end: AttemptEnd): string =>
  end.kind === "answered" ? `status ${end.head.status}` : end.failure.detail;

/** Whether the answer is the event stream that the request asked for. */
export const isStreamOf = (
  { head, route }: Readonly<{ head: RequestHead; route: Route }>,
  answer: AnswerHead,
): boolean =>
  route.kind === "stream" &&
  answer.isEventStream &&
  answer.status === 200 &&
  decideVerdict({ kind: "answered", head: answer }, head.id) === "final";

/** Inputs of the decision. */
export type StepInputs = Readonly<{
  end: AttemptEnd;
  verdict: Verdict;
  route: Route;
  /** An earlier attempt may have run. */
  mayHaveRunBefore: boolean;
  /** Whether another attempt is possible and allowed; true takes from the retry budget. */
  takeRetry: () => boolean;
}>;

const hasUnprovenBody = (end: AttemptEnd): boolean =>
  end.kind === "answered" && (end.isBodyUnproven ?? false);

const answerForUnserved = (inputs: StepInputs): NextStep => {
  const { end, route, mayHaveRunBefore } = inputs;
  if (mayHaveRunBefore && !mayRepeat(route)) return { kind: "answer_unknown" };
  const isServersOwn =
    end.kind === "answered" && !end.head.isOtherServer && !hasUnprovenBody(end);
  return isServersOwn ? { kind: "pass_on" } : { kind: "answer_not_run" };
};

/** Decides the next step. */
export const decideNext = (inputs: StepInputs): NextStep => {
  const { verdict, route, takeRetry } = inputs;
  switch (verdict) {
    case "final":
      return { kind: "pass_on" };
    case "not_run":
      return takeRetry() ? { kind: "retry", reason: verdict } : answerForUnserved(inputs);
    case "may_have_run":
      return mayRepeat(route) && takeRetry()
        ? { kind: "retry", reason: verdict }
        : { kind: "answer_unknown" };
    case "ran_and_failed":
      if (mayRepeat(route) && takeRetry()) return { kind: "retry", reason: verdict };
      return hasUnprovenBody(inputs.end)
        ? { kind: "answer_unknown" }
        : { kind: "pass_on" };
  }
};
