/** What follows an attempt at a server: the answer is passed on, another server is tried, or the system answers itself. Pure. */
import type { Route } from "@stairgauge/routing";
import type { ContinuationOutcome } from "./activeRuns.js";
import type { Attempt } from "./attempt.js";
import type {
  AnswerHead,
  ClientRequestId,
  ExchangeFailure,
  RequestHead,
} from "./types.js";

/** How one attempt ended before anything of it went to the client. */
export type AttemptEnd = Readonly<
  | {
      kind: "answered";
      head: AnswerHead;
      /** The head alone was judged: its body may be cut, and is not to be passed on. */
      isBodyUnproven?: boolean;
    }
  | { kind: "failed"; failure: ExchangeFailure }
>;

/** What an attempt's end says of the request. */
export type Verdict =
  /** The server's answer goes to the client as it is. */
  | "final"
  /** The server did not run the request and never will. */
  | "not_run"
  /** It may have run; the answer is no use to the client. */
  | "may_have_run"
  /** It ran and failed; the answer may be passed on. */
  | "ran_and_failed";

/** What is done next. */
export type NextStep = Readonly<
  | { kind: "pass_on" }
  | { kind: "retry"; reason: Verdict }
  /** The request has not run: the client may come back. */
  | { kind: "answer_not_run" }
  /** Nothing is promised. */
  | { kind: "answer_unknown" }
>;

/** Statuses by which the system promises that a request has not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isSuccess = (status: number) => status >= 200 && status < 300;

/** Whether the answer is the server's own, whole in its head, and to this request. */
const isTrustworthy = (head: AnswerHead, id: ClientRequestId | undefined): boolean => {
  if (head.requestId !== undefined && head.requestId !== id) return false;
  if (head.isEncoded) return false;
  return !isSuccess(head.status) || head.isSigned;
};

/** Judges an attempt by what it can prove. */
export const judgeAttempt = (
  end: AttemptEnd,
  id: ClientRequestId | undefined,
): Verdict => {
  if (end.kind === "failed")
    return end.failure.kind === "unreachable" ? "not_run" : "may_have_run";
  const { head } = end;
  if (!isTrustworthy(head, id)) return "may_have_run";
  if (head.isNotRun || head.isOtherServer) return "not_run";
  if (PROMISING_STATUSES.has(head.status)) return "may_have_run";
  return head.status >= 500 ? "ran_and_failed" : "final";
};

/** Whether a server says that it had no room for the request: another may have some. */
export const isTurnedAway = ({ status, isNotRun }: AnswerHead): boolean =>
  status === 503 && isNotRun;

/** Whether a server's answer, once whole, is the request's own and a success. */
export const isServed = (head: AnswerHead, id: ClientRequestId | undefined): boolean =>
  isSuccess(head.status) && judgeAttempt({ kind: "answered", head }, id) === "final";

/** Whether what follows rests on the body: a refusal, and an answer that is no use, are judged by their head. */
export const isBodyNeeded = (
  head: AnswerHead,
  id: ClientRequestId | undefined,
): boolean => {
  const verdict = judgeAttempt({ kind: "answered", head }, id);
  return verdict === "final" || verdict === "ran_and_failed";
};

/** Nobody was asked whether the body is whole: it ended with its connection, and its head says enough. */
export const isBodyUnproven = (
  { endedBy, head }: Pick<Attempt, "endedBy" | "head">,
  id: ClientRequestId | undefined,
): boolean => endedBy === "connection" && !isBodyNeeded(head!, id);

/** What the one who keeps runs alive is told of an attempt to go on with one that failed. */
export const toOutcome = (end: AttemptEnd): ContinuationOutcome =>
  end.kind === "answered"
    ? { kind: "refused", status: end.head.status }
    : { kind: "broken", detail: end.failure.detail };

/** Says how an attempt ended, for logs and reasons. */
export const describeEnd = (end: AttemptEnd): string =>
  end.kind === "answered" ? `status ${end.head.status}` : end.failure.detail;

/** Whether an answer is the stream that the request asked for, passed on event by event. */
export const isStreamOf = (
  { head, route }: Readonly<{ head: RequestHead; route: Route }>,
  answer: AnswerHead,
): boolean =>
  route.kind === "stream" &&
  answer.isEventStream &&
  answer.status === 200 &&
  judgeAttempt({ kind: "answered", head: answer }, head.id) === "final";

/** What the next step depends on beside the verdict. */
export type StepInputs = Readonly<{
  end: AttemptEnd;
  verdict: Verdict;
  route: Route;
  /** An attempt before this one may have run. */
  mayHaveRunBefore: boolean;
  /** Whether another server is there, and attempts, time and budget allow it; a yes takes from the budget. */
  takeRetry: () => boolean;
}>;

/** Whether a request of the route may run again after one that may have run. */
export const mayRepeat = (route: Route): boolean =>
  route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);

const answerForUnserved = (inputs: StepInputs): NextStep => {
  const { end, route, mayHaveRunBefore } = inputs;
  if (mayHaveRunBefore && !mayRepeat(route)) return { kind: "answer_unknown" };
  const isServersOwn =
    end.kind === "answered" && !end.head.isOtherServer && !end.isBodyUnproven;
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
      return mayRepeat(route) && takeRetry()
        ? { kind: "retry", reason: verdict }
        : { kind: "pass_on" };
  }
};
