/**
 * Dispatches one admitted request: chooses a server, sends the request, evaluates the answer, and then
 * makes another attempt, continues the run at another server, or sends the final answer. Each of these
 * steps has a file of its own; this one connects them and ends the request.
 */
import type { Ms, Timer } from "@stairgauge/common";
import type { StreamBinding } from "@stairgauge/placement";
import type { AdmittedRequest } from "./admittedRequest.js";
import { isProcessing } from "./attempt.js";
import { computeDemand } from "./computeDemand.js";
import { createConcluding } from "./concludeAttempt.js";
import { createContinuing } from "./continueStream.js";
import { createDispatchReports, type PreviousServer } from "./createDispatchReports.js";
import { createOwnAnswers } from "./createOwnAnswers.js";
import type { DispatchParts } from "./dispatchParts.js";
import { createDispatchState } from "./dispatchState.js";
import { fitsBeforeStop, type StopTimes } from "./fitsBeforeStop.js";
import type { DispatchDeps } from "./forwarderTypes.js";
import { createCallGuard } from "./guardCall.js";
import { createStreamSampler } from "./observePace.js";
import { createPlacing } from "./placeCall.js";
import { createRequestAttempts } from "./requestAttempts.js";
import { createRunStep, describeFault } from "./runStep.js";
import { createSending } from "./sendAttempt.js";
import { createStreamRelay } from "./streamRelay.js";
import { describeOrigin } from "./takenUpStream.js";

/** A dispatched request, with callbacks for outside events. */
export type DispatchedCall = Readonly<{
  onClientLeft: () => void;
  /** Ends the request if it has been blocked and no server is processing it. */
  stopIfBlocked: () => void;
  /**
   * Refuses the request if it still waits for a server and might not be answered by the end of
   * the stop: its client tries another box at once.
   */
  refuseIfWaiting: (stop: StopTimes, retryAfter: Ms) => void;
  /** Ends the request unless its answer has begun, by what is true of it: not run, or it may have run. */
  endUnanswered: (retryAfter: Ms) => void;
  /** Breaks the answer off if it has begun. */
  breakBegun: () => void;
}>;

/** Dispatches a request; it always ends with one final answer, or when the client disconnects. */
export const dispatchCall = (
  deps: DispatchDeps,
  request: AdmittedRequest,
): DispatchedCall => {
  const { clock, placer, budget, runs, runKeeper } = deps;
  const { head, route, service, answer, receivedAt, endsAt } = request;
  const demand = computeDemand(request);
  const state = createDispatchState();

  const finish = () => {
    if (!state.markOver()) return;
    placing.leaveQueue();
    limitTimer.cancel();
    sampler.reset();
    state.dropCurrent();
    const run = state.getRun();
    if (!run) return;
    runs.remove(run);
    runKeeper.onFinished(run);
  };
  const failStream = (previous: PreviousServer, detail: string) => {
    reports.reportStreamLost(previous, detail);
    answer.break();
    finish();
  };
  /** Ends the request after a step has thrown, by what is true of it. */
  const endByFault = (error: unknown) => {
    if (state.isOver()) return;
    reports.report({ kind: "step_failed", detail: describeFault(error) });
    try {
      if (answer.hasBegun()) answer.break();
      else if (state.hasSent()) ownAnswers.answerUnknown("answer_lost");
      else ownAnswers.answerNotRun("box_failed");
    } catch {
      answer.break();
    }
    finish();
  };
  const runStep = createRunStep(endByFault);
  const endOutOfTime = () => {
    if (state.isOver()) return;
    const hasBegun = answer.hasBegun();
    const current = state.getCurrent();
    const wasSent = current?.exchange?.isSent() ?? false;
    const mayStillRun = state.mayHaveRun() || hasBegun || wasSent;
    reports.reportOutOfTime(current, mayStillRun);
    if (hasBegun) {
      answer.break();
      finish();
      return;
    }
    if (mayStillRun) ownAnswers.answerOutOfTime();
    else ownAnswers.answerNotRun("out_of_time_unsent");
  };
  const endForStop = (retryAfter: Ms) => {
    const current = state.getCurrent();
    const mayHaveRun = state.mayHaveRun() || (current?.exchange?.isSent() ?? false);
    reports.reportStopReached(current, mayHaveRun);
    if (mayHaveRun) ownAnswers.answerUnknown("box_is_stopping");
    else ownAnswers.answerStopping(retryAfter);
  };
  const timeLeft = (endsAt - clock.monotonic()) as Ms;
  const limitTimer: Timer = clock.setTimeLimit(timeLeft, () => runStep(endOutOfTime));

  const recordBegun = (binding: StreamBinding) => {
    state.setBinding(binding);
    if (route.isResumable) deps.origins.recordBegun(describeOrigin(request), binding);
  };
  const sampler = createStreamSampler({
    pace: deps.pace,
    targetMs: route.pauseAim,
    findServer: () => state.getCurrent()?.server,
  });
  const relay = createStreamRelay({
    clock,
    answer,
    resumeAfter: route.isResumable ? head.lastEventId : undefined,
    onFirstEvent: () => {
      const current = state.getCurrent();
      const run = state.getRun();
      if (current) {
        placer.onRunBegun(current.server, head);
        recordBegun(placer.getBinding(current.server));
      }
      if (run) runKeeper.onBegun(run);
    },
    onEvents: (now) => {
      const current = state.getCurrent();
      if (current) guard.onProgress(current);
      if (current?.carrier === undefined) sampler.onEvent(now);
    },
  });
  const ownAnswers = createOwnAnswers({ deps, request, isOver: state.isOver, finish });
  const reports = createDispatchReports({
    deps,
    request,
    relay,
    countContinuations: state.countContinuations,
  });
  const guard = createCallGuard({
    deps,
    request,
    countEvents: relay.getEvents,
    reportBroken: reports.reportBroken,
  });
  const attempts = createRequestAttempts({
    deps,
    request,
    getDemand: () => {
      const binding = state.getBinding();
      return binding ? { ...demand, binding } : demand;
    },
    mayRepeat: guard.mayRepeat,
  });
  const parts: DispatchParts = {
    deps,
    request,
    demand,
    state,
    relay,
    sampler,
    reports,
    guard,
    attempts,
    ownAnswers,
    runStep,
  };
  const getSteps = () => steps;
  const placing = createPlacing(parts, getSteps);
  const sending = createSending(parts, getSteps);
  const concluding = createConcluding(parts, getSteps);
  const continuing = createContinuing(parts, getSteps);
  const steps = {
    finish,
    failStream,
    ...placing,
    ...sending,
    ...concluding,
    ...continuing,
  };

  answer.onDrain(() => {
    // The gap until the next event is the client's, not the server's.
    sampler.reset();
    state.getCurrent()?.exchange?.resume();
  });
  budget.recordRequest(service, receivedAt);
  placer.recordArrival(service, demand.tier);
  runStep(placing.placeFirst);

  return {
    onClientLeft: () => {
      if (state.isOver()) return;
      reports.reportClientLeft(state.getCurrent());
      answer.break();
      finish();
    },
    refuseIfWaiting: (stop, retryAfter) => {
      if (state.isOver() || state.getCurrent() || state.mayHaveRun()) return;
      // A stream that is between two servers goes on.
      if (answer.hasBegun()) return;
      const now = clock.monotonic();
      if (!fitsBeforeStop({ ...stop, now, head, route }))
        ownAnswers.answerStopping(retryAfter);
    },
    endUnanswered: (retryAfter) => {
      if (!state.isOver() && !answer.hasBegun()) runStep(() => endForStop(retryAfter));
    },
    breakBegun: () => {
      if (state.isOver() || !answer.hasBegun()) return;
      reports.reportStopReached(state.getCurrent(), true);
      answer.break();
      finish();
    },
    stopIfBlocked: () => {
      const current = state.getCurrent();
      if (state.isOver() || relay.hasBegun()) return;
      if (current && isProcessing(current, demand)) return;
      if (current?.exchange?.isSent()) state.markMayHaveRun();
      placing.endIfBlocked();
    },
  };
};
