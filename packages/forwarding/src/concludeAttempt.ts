/**
 * Evaluates the answer of an attempt: it is forwarded, another server is tried, an interrupted stream is
 * continued, or the box answers itself.
 */
import { assertNever } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createActiveRun } from "./activeRuns.js";
import { sendHeldAnswer, type Attempt } from "./attempt.js";
import { computeRetryAfter } from "./computeRetryAfter.js";
import {
  decideNext,
  decideVerdict,
  describeEnd,
  isBodyUnproven,
  isFullRejection,
  isServed,
  isTurnedAway,
  isUnsendable,
  type AttemptEnd,
  type NextStep,
} from "./decideNext.js";
import type {
  ConcludingSteps,
  ContinuingSteps,
  DispatchParts,
  EndingSteps,
  RetryingSteps,
} from "./dispatchParts.js";
import { mayRepeat } from "./mayRepeat.js";
import { recordPlainAnswer } from "./observePace.js";
import { recordServerSignals } from "./recordServerSignals.js";
import { classifyAttempt } from "./requestAttempts.js";
import { describeOrigin } from "./takenUpStream.js";
import type { AnswerHead, ExchangeFailure, RawHeaders } from "./types.js";

const NONE_TRIED: ReadonlySet<ServerId> = new Set();

/** Creates the steps; `getSteps` returns those that may follow. */
export const createConcluding = (
  parts: DispatchParts,
  getSteps: () => EndingSteps & RetryingSteps & ContinuingSteps,
): ConcludingSteps => {
  const { deps, request, demand, state, relay, reports, guard, attempts } = parts;
  const { ownAnswers } = parts;
  const { clock, codec, placer, runs, runKeeper } = deps;
  const { head, route, service, answer } = request;

  const isPlain = route.kind !== "stream";

  const startRun = (attempt: Attempt) => {
    if (state.getRun() || head.id === undefined) return;
    const run = createActiveRun({
      id: head.id,
      route,
      demand,
      relay,
      findServer: () => state.getCurrent()?.server,
      getBinding: state.getBinding,
      first: attempt.server,
    });
    state.setRun(run);
    runs.add(run);
  };

  /** The retry delay of a rejection is computed here, as other servers may accept the request sooner. */
  const encodeRetryAfter = (answerHead: AnswerHead): RawHeaders => {
    if (!isTurnedAway(answerHead)) return [];
    const decision = placer.choose(service, demand, NONE_TRIED);
    return codec.encodeRetryAfter(computeRetryAfter(decision, deps.retryAfter));
  };
  const sendServerAnswer = (attempt: Attempt) => {
    reports.reportAnswered(attempt);
    sendHeldAnswer(answer, attempt, encodeRetryAfter(attempt.head!));
    getSteps().finish();
  };

  const recordFailure = ({ server }: Attempt, { kind }: ExchangeFailure) => {
    switch (kind) {
      case "broken":
        placer.onBroken(server, guard.awaitCheck(server));
        return;
      case "malformed":
        // Its bytes arrived, so the path is open.
        placer.onBroken(server, Promise.resolve());
        return;
      case "unreachable":
      case "unsendable":
      case "carrier_lost":
        // Neither the request itself nor the link to a carrier says anything about the server.
        return;
      default:
        assertNever(kind);
    }
  };

  /** Tells the placer and the attempts' limits how the attempt ended. */
  const recordEnd = (attempt: Attempt, end: AttemptEnd) => {
    const { server } = attempt;
    const verdict = decideVerdict(end, head.id);
    const wasSent = attempt.exchange?.isSent() ?? false;
    attempts.recordEnd(classifyAttempt(wasSent, verdict, attempt.head?.signals));
    if (isUnsendable(end)) return verdict;
    if (!wasSent) placer.onUnreachable(server);
    else if (end.kind === "failed" && (!attempt.head || end.failure.kind === "malformed"))
      recordFailure(attempt, end.failure);
    else if (attempt.isBodyDropped) placer.onBroken(server, Promise.resolve());
    if (end.kind === "answered" && end.head.isOtherServer) placer.onAddressReused(server);
    return verdict;
  };

  const conclude = (attempt: Attempt, end: AttemptEnd) => {
    if (state.countContinuations() > 0) {
      getSteps().handleContinuationFailure(attempt, end);
      return;
    }
    const ended = reports.describeAttemptEnd(attempt, end);
    const verdict = recordEnd(attempt, end);
    state.dropCurrent();
    if (isPlain && end.kind === "answered" && isFullRejection(end.head))
      deps.plainAdmission.onRejected(attempt.server);
    const step = decideNext({
      end,
      verdict,
      route,
      mayHaveRunBefore: state.mayHaveRun(),
      takeRetry: attempts.takeRetry,
    });
    if (verdict === "may_have_run" || verdict === "ran_and_failed")
      state.markMayHaveRun();
    takeStep(attempt, step, { detail: describeEnd(end), ended });
  };
  const takeStep = (
    attempt: Attempt,
    step: NextStep,
    {
      detail,
      ended,
    }: Readonly<{
      detail: string;
      ended: ReturnType<typeof reports.describeAttemptEnd>;
    }>,
  ) => {
    switch (step.kind) {
      case "pass_on":
        sendServerAnswer(attempt);
        return;
      case "retry":
        reports.reportRetry(attempt, step.reason, detail, ended);
        getSteps().attemptNext();
        return;
      case "answer_not_run":
        ownAnswers.answerNotRun("no_server_ran_it", detail);
        return;
      case "answer_unknown":
        ownAnswers.answerUnknown("answer_lost", detail);
        return;
      default:
        assertNever(step);
    }
  };

  /**
   * Concludes an attempt that its server broke off before the first event. A stream that may have ended its server is
   * tried elsewhere only once it is known that the server lives; one that may not be repeated has nothing to wait for.
   */
  const concludeBroken = async (attempt: Attempt, end: AttemptEnd) => {
    if (!isPlain && mayRepeat(route)) await guard.mayContinue(attempt.server);
    if (state.isCurrent(attempt)) conclude(attempt, end);
  };

  const recordWholeStream = () => {
    const binding = state.getBinding();
    if (route.isResumable && binding)
      deps.origins.recordWhole(describeOrigin(request), binding);
  };

  return {
    concludeByHead: (attempt) =>
      conclude(attempt, {
        kind: "answered",
        head: attempt.head!,
        isBodyUnproven: true,
      }),
    handleHead: (attempt, answerHead) => {
      attempt.silenceWatch?.cancel();
      attempt.answeredAt = clock.monotonic();
      recordServerSignals(deps, { ...attempt, request: head.id }, answerHead);
    },
    handleStreamBegun: (attempt) => {
      const run = state.getRun();
      if (state.countContinuations() > 0 && run) {
        placer.onRunBegun(attempt.server, head);
        runKeeper.onContinued(run, { kind: "goes_on" });
      }
      startRun(attempt);
    },
    finishWhole: (attempt) => {
      const { body } = attempt;
      if (isServed(attempt.head!, head.id)) {
        guard.onServed(attempt);
        // The way over another box would count as time of the server.
        if (isPlain && attempt.carrier === undefined)
          recordPlainAnswer(deps.pace, clock, attempt);
      }
      const end = { kind: "answered", head: attempt.head! } as const;
      switch (body.kind) {
        case "held":
          conclude(attempt, { ...end, isBodyUnproven: isBodyUnproven(attempt, head.id) });
          return;
        case "passed_on":
          answer.end();
          reports.reportAnswered(attempt);
          getSteps().finish();
          return;
        case "stream":
          reports.reportStreamEnded(attempt, end);
          recordWholeStream();
          body.segment.finish();
          getSteps().finish();
          return;
        default:
          assertNever(body);
      }
    },
    handleFailure: (attempt, failure) => {
      const end: AttemptEnd = { kind: "failed", failure };
      if (failure.kind === "broken") guard.onBroken(attempt);
      const { body } = attempt;
      switch (body.kind) {
        case "held":
          parts.runStep(() => concludeBroken(attempt, end));
          return;
        case "passed_on": {
          const ended = reports.describeAttemptEnd(attempt, end);
          getSteps().failStream({ from: attempt.server, ended }, failure.detail);
          return;
        }
        case "stream":
          if (relay.hasBegun()) getSteps().continueElsewhere(attempt, end);
          else parts.runStep(() => concludeBroken(attempt, end));
          return;
        default:
          assertNever(body);
      }
    },
  };
};
