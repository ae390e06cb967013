/**
 * Brings one admitted request to its end: chooses a server, sends it, judges what comes back, and goes
 * on with another attempt, another server for the same run, or the final answer.
 */
import { assertNever, type Ms, type Timer } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { PlacementDecision } from "@stairgauge/placement";
import { createActiveRun, type ActiveRun, type RunContinuation } from "./activeRuns.js";
import { createAnswerSink } from "./answerSink.js";
import { createAttempt, isAtWork, sendHeldAnswer, type Attempt } from "./attempt.js";
import { buildExchangeRequest } from "./buildExchangeRequest.js";
import { computeDemand } from "./computeDemand.js";
import { computeRetryAfter } from "./computeRetryAfter.js";
import {
  createDispatchReports,
  type LeftServer,
  type PlacedDecision,
} from "./createDispatchReports.js";
import {
  decideNext,
  describeEnd,
  isBodyUnproven,
  isServed,
  isTurnedAway,
  judgeAttempt,
  mayRepeat,
  toOutcome,
  type AttemptEnd,
} from "./decideNext.js";
import { createOwnAnswers } from "./createOwnAnswers.js";
import type { AdmittedRequest, DispatchDeps } from "./forwarderTypes.js";
import { createCallGuard } from "./guardCall.js";
import { openExchange } from "./openExchange.js";
import { recordServerSigns } from "./recordServerSigns.js";
import { placeAgain, placeByAdvice, type PlaceableRequest } from "./placeByAdvice.js";
import { computePlacingTerms } from "./placeWithRoom.js";
import { createRequestTries, judgeTry } from "./requestTries.js";
import { createStreamRelay } from "./streamRelay.js";
import type { AnswerHead, DispatchTerms, ExchangeFailure, RawHeaders } from "./types.js";
import { watchSilence } from "./watchSilence.js";

/** Continuations of one run after which it counts as lost. */
const MAX_CONTINUATIONS = 12;

const NONE_TRIED: ReadonlySet<ServerId> = new Set();

/** A call that can be told of what happens elsewhere. */
export type DispatchedCall = Readonly<{
  clientLeft: () => void;
  /** Ends the request if it goes to no server any more, and no server has begun to answer it. */
  stopIfBlocked: () => void;
}>;

/** Dispatches a request; it always ends in one final answer, or with the client gone. */
export const dispatchCall = (
  deps: DispatchDeps,
  request: AdmittedRequest,
): DispatchedCall => {
  const { clock, codec, placer, budget, runs, runKeeper } = deps;
  const { head, route, service, answer, receivedAt, endsAt } = request;
  const demand = computeDemand(request);
  let continuations = 0;
  let mayHaveRun = false;
  let isOver = false;
  let current: Attempt | undefined;
  let run: ActiveRun | undefined;

  const getNow = () => clock.monotonic();

  const dropAttempt = () => {
    current?.exchange?.cancel();
    current?.silence?.cancel();
    current?.release();
    current = undefined;
  };
  let leaveRoom = () => {};
  const finish = () => {
    if (isOver) return;
    isOver = true;
    leaveRoom();
    limitTimer.cancel();
    dropAttempt();
    if (!run) return;
    runs.remove(run);
    runKeeper.onFinished(run);
  };
  const own = createOwnAnswers({ deps, request, isOver: () => isOver, finish });
  const loseStream = (left: LeftServer, detail: string) => {
    reports.tellStreamLost(left, detail);
    answer.break();
    finish();
  };
  const endOutOfTime = () => {
    if (isOver) return;
    const hasBegun = answer.hasBegun();
    const mayRunStill = mayHaveRun || hasBegun || (current?.exchange?.isSent() ?? false);
    reports.tellOutOfTime(current, mayRunStill);
    if (hasBegun) {
      answer.break();
      finish();
      return;
    }
    if (mayRunStill) own.answerOutOfTime();
    else own.answerNotRun("out_of_time_unsent");
  };
  const limitTimer: Timer = clock.setTimer((endsAt - getNow()) as Ms, endOutOfTime);

  const relay = createStreamRelay({
    clock,
    answer,
    askedBehind: route.isResumable ? head.lastEventId : undefined,
    onFirstEvent: () => {
      if (current) placer.onRunBegun(current.server, head);
      if (run) runKeeper.onBegun(run);
    },
  });
  const reports = createDispatchReports({
    deps,
    request,
    relay,
    countContinuations: () => continuations,
  });
  const guard = createCallGuard({
    deps,
    request,
    countEvents: relay.getEvents,
    tellBroke: reports.tellBroke,
  });
  const tries = createRequestTries({ deps, request, demand, mayRepeat: guard.mayRepeat });
  answer.onDrain(() => current?.exchange?.resume());

  const startRun = () => {
    if (run || head.id === undefined) return;
    run = createActiveRun({
      id: head.id,
      route,
      demand,
      relay,
      findServer: () => current?.server,
      first: current!.server,
    });
    runs.add(run);
  };

  const openAt = (
    server: BackendServer,
    continuation?: DispatchTerms["continuation"],
  ): Attempt => {
    const release = placer.place(server, head, demand);
    const attempt = createAttempt({
      server,
      openedAt: getNow(),
      eventsBefore: relay.getEvents(),
      release,
    });
    current = attempt;
    const exchangeRequest = buildExchangeRequest(deps, clock, request, {
      server,
      demand,
      continuation,
    });
    if (!continuation) attempt.silence = watchAttempt(attempt);
    const sink = createAnswerSink({
      codec,
      request,
      relay,
      attempt,
      isLeaving: () => placer.isLeaving(server),
      askServer: () => deps.askServer(server),
      listener: {
        isCurrent: () => current === attempt && !isOver,
        onHead: (answerHead) => takeHead(attempt, answerHead),
        onStreamBegun: () => takeStreamBegun(attempt),
        onPassingOn: () => {
          mayHaveRun = true;
        },
        onWhole: () => endWhole(attempt),
        onFailure: (failure) => takeFailure(attempt, failure),
        onNoStream: () => conclude(attempt, { kind: "answered", head: attempt.head! }),
      },
    });
    attempt.exchange = openExchange(clock, exchangeRequest, sink);
    return attempt;
  };

  /** The first attempt of a request that may run again is given up for another server's. */
  const watchAttempt = (attempt: Attempt) => {
    if (!mayRepeat(route)) return undefined;
    return watchSilence({
      clock,
      aim: route.firstAnswerAim,
      isGeneration: demand.tokens !== undefined,
      isAlive: () => placer.isAlive(attempt.server),
      onSilent: () => leaveSilent(attempt),
    });
  };
  const leaveSilent = (attempt: Attempt) => {
    if (current !== attempt || isOver) return;
    const wasSent = attempt.exchange?.isSent() ?? false;
    if (!tries.takeRetryInstead(wasSent)) return;
    mayHaveRun ||= wasSent;
    const ended = reports.describeBytes(attempt, { kind: "left_open" });
    reports.tellRetry(attempt, "silent", "no answer", ended);
    dropAttempt();
    attemptNext();
  };

  const takeHead = (attempt: Attempt, answerHead: AnswerHead) => {
    attempt.silence?.cancel();
    attempt.answeredAt = getNow();
    recordServerSigns(deps, { ...attempt, request: head.id }, answerHead);
  };
  const takeStreamBegun = (attempt: Attempt) => {
    if (continuations > 0 && run) {
      placer.onRunBegun(attempt.server, head);
      runKeeper.onContinued(run, { kind: "goes_on" });
    }
    startRun();
  };

  const endWhole = (attempt: Attempt) => {
    const { body } = attempt;
    if (isServed(attempt.head!, head.id)) guard.onServed();
    const end = { kind: "answered", head: attempt.head! } as const;
    switch (body.kind) {
      case "held":
        conclude(attempt, { ...end, isBodyUnproven: isBodyUnproven(attempt, head.id) });
        return;
      case "passed_on":
        answer.end();
        reports.tellAnswered(attempt);
        finish();
        return;
      case "stream":
        reports.tellStreamEnded(attempt, end);
        body.leg.finish();
        finish();
        return;
      default:
        assertNever(body);
    }
  };

  const takeFailure = (attempt: Attempt, failure: ExchangeFailure) => {
    const end: AttemptEnd = { kind: "failed", failure };
    if (failure.kind === "broken") guard.onBroken(attempt);
    const { body } = attempt;
    switch (body.kind) {
      case "held":
        conclude(attempt, end);
        return;
      case "passed_on": {
        const ended = reports.describeBytes(attempt, end);
        loseStream({ from: attempt.server, ended }, failure.detail);
        return;
      }
      case "stream":
        if (relay.hasBegun()) void continueElsewhere(attempt, end);
        else conclude(attempt, end);
        return;
      default:
        assertNever(body);
    }
  };

  const conclude = (attempt: Attempt, end: AttemptEnd) => {
    if (continuations > 0) {
      refuseContinuation(attempt, end);
      return;
    }
    const { server } = attempt;
    const ended = reports.describeBytes(attempt, end);
    const verdict = judgeAttempt(end, head.id);
    const wasSent = attempt.exchange?.isSent() ?? false;
    tries.recordEnd(judgeTry(wasSent, verdict, attempt.head?.signs));
    if (!wasSent) placer.onUnreachable(server);
    else if (end.kind === "failed" && !attempt.head) placer.onBroken(server);
    if (end.kind === "answered" && end.head.isOtherServer) placer.onAddressReused(server);
    dropAttempt();
    const step = decideNext({
      end,
      verdict,
      route,
      mayHaveRunBefore: mayHaveRun,
      takeRetry: tries.takeRetry,
    });
    if (verdict === "may_have_run" || verdict === "ran_and_failed") mayHaveRun = true;
    switch (step.kind) {
      case "pass_on":
        passAnswerOn(attempt);
        return;
      case "retry":
        reports.tellRetry(attempt, step.reason, describeEnd(end), ended);
        attemptNext();
        return;
      case "answer_not_run":
        own.answerNotRun("no_server_ran_it", describeEnd(end));
        return;
      case "answer_unknown":
        own.answerUnknown("answer_lost", describeEnd(end));
        return;
    }
  };

  const passAnswerOn = (attempt: Attempt) => {
    reports.tellAnswered(attempt);
    sendHeldAnswer(answer, attempt, encodeRetryAfter(attempt.head!));
    finish();
  };
  /** A server's own time to come back is about itself: others may take the request sooner. */
  const encodeRetryAfter = (answerHead: AnswerHead): RawHeaders => {
    if (!isTurnedAway(answerHead)) return [];
    const decision = placer.choose(service, demand, NONE_TRIED);
    return codec.encodeRetryAfter(computeRetryAfter(decision, deps.retryAfter));
  };

  const placeable: PlaceableRequest = {
    id: head.id,
    demand,
    terms: computePlacingTerms(request),
    except: tries.tried,
  };
  const attemptNext = () => {
    if (isOver) return;
    leaveRoom = placeAgain(deps, placeable, { choose: tries.choose, place: takePlace });
  };
  const takePlace = (decision: PlacementDecision, by?: string) => {
    if (isOver || endIfBlocked()) return;
    if (decision.kind === "placed") sendTo(decision, by);
    else if (mayHaveRun && !mayRepeat(route)) own.answerUnknown("no_server_left");
    else own.answerNoServer(decision);
  };

  /** Refuses a request under which too many servers have ended, with the time until it may come again. */
  const endIfBlocked = (): boolean => {
    const left = guard.findBlock();
    if (left === undefined || relay.hasBegun()) return false;
    own.answerBlocked(left, mayHaveRun);
    return true;
  };

  const sendTo = (decision: PlacedDecision, by?: string) => {
    tries.recordChosen(decision.server.entry.id);
    reports.tellPlaced(decision, tries.countSent() + 1, by);
    openAt(decision.server);
  };

  /** The run's server has ended its stream: the same run goes on elsewhere, or a new one where that is allowed. */
  const continueElsewhere = async (attempt: Attempt, end: AttemptEnd) => {
    const ended = reports.describeBytes(attempt, end);
    const left: LeftServer = { from: attempt.server, ended };
    const detail = describeEnd(end);
    dropAttempt();
    if (!relay.canGoOn() || !(await guard.mayGoOn(attempt.server))) {
      if (!isOver) loseStream(left, detail);
      return;
    }
    if (isOver) return;
    if (continuations === 0) tries.recordEnd("counts");
    continuations += 1;
    const continuation =
      run && continuations <= MAX_CONTINUATIONS
        ? await runKeeper.recover(run, detail)
        : undefined;
    if (isOver) return;
    const mayGoOn = continuation && placer.takeContinuation(continuation.server);
    if (mayGoOn && guard.mayRepeat()) {
      continueRun(left, continuation);
      return;
    }
    if (!resumeAnew(left)) loseStream(left, detail);
  };

  const continueRun = (left: LeftServer, { server, memory }: RunContinuation) => {
    reports.tellGoesOn("continued", left, server);
    openAt(server, { lastEventId: relay.getLastEventId(), memory });
  };

  /** Where the route allows it, a new run of another server goes on after the last whole event. */
  const resumeAnew = (left: LeftServer): boolean => {
    const decision = tries.takeRunAnew();
    if (!decision) return false;
    reports.tellGoesOn("resumed", left, decision.server);
    openAt(decision.server, { lastEventId: relay.getLastEventId(), memory: undefined });
    return true;
  };

  const refuseContinuation = (attempt: Attempt, end: AttemptEnd) => {
    reports.tellContinuationRefused(attempt, end);
    if (run) runKeeper.onContinued(run, toOutcome(end));
    void continueElsewhere(attempt, end);
  };

  budget.recordRequest(service, receivedAt);
  placer.recordArrival(service, demand.tier);
  if (!endIfBlocked())
    leaveRoom = placeByAdvice(deps, placeable, {
      choose: tries.choose,
      place: takePlace,
      tell: reports.tell,
    });

  return {
    clientLeft: () => {
      if (isOver) return;
      reports.tellClientLeft(current);
      answer.break();
      finish();
    },
    stopIfBlocked: () => {
      if (isOver || relay.hasBegun() || (current && isAtWork(current, demand))) return;
      mayHaveRun ||= current?.exchange?.isSent() ?? false;
      endIfBlocked();
    },
  };
};
