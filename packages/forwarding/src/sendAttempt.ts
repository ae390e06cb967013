/** Sends the request of a dispatch to one server, and watches for a server that stays silent. */
import type { BackendServer } from "@stairgauge/directory";
import { createAnswerSink } from "./answerSink.js";
import { createAttempt, type Attempt } from "./attempt.js";
import { buildExchangeRequest } from "./buildExchangeRequest.js";
import type { SettledEnd } from "./classifyEnd.js";
import type {
  ConcludingSteps,
  DispatchParts,
  RetryingSteps,
  SendingSteps,
} from "./dispatchParts.js";
import { classifyAttempt } from "./requestAttempts.js";
import { mayRepeat } from "./mayRepeat.js";
import { watchSilence } from "./watchSilence.js";

/** Creates the step; `getSteps` returns the steps that follow an answer or its absence. */
export const createSending = (
  parts: DispatchParts,
  getSteps: () => ConcludingSteps & RetryingSteps,
): SendingSteps => {
  const { deps, request, demand, state, relay, reports, attempts } = parts;
  const { clock, codec, placer } = deps;
  const { head, route } = request;

  const dropSilentAttempt = (attempt: Attempt) => {
    if (!state.isCurrent(attempt)) return;
    const wasSent = attempt.exchange?.isSent() ?? false;
    if (!attempts.takeRetryWhileOpen(wasSent)) return;
    if (wasSent) state.markMayHaveRun();
    const ended = reports.describeAttemptEnd(attempt, { kind: "left_open" });
    reports.reportRetry(attempt, "silent", "no answer", ended);
    state.dropCurrent();
    getSteps().attemptNext();
  };
  /** Watches an attempt of a repeatable request, to give it up if its server does not answer. */
  const watchAttempt = (attempt: Attempt) => {
    if (!mayRepeat(route)) return undefined;
    return watchSilence({
      clock,
      aim: route.firstAnswerAim,
      isGeneration: demand.tokens !== undefined,
      isAlive: () => placer.isAlive(attempt.server),
      onSilent: () => parts.runStep(() => dropSilentAttempt(attempt)),
    });
  };

  const findStop = async () => {
    const run = state.getRun();
    return run ? deps.runKeeper.findStop(run) : "none";
  };

  const recordOpenEnd = (proof: Promise<SettledEnd>) =>
    state.setOpenEnd({ events: relay.getEvents(), proof });
  const findOpenEnd = () => {
    const end = state.getOpenEnd();
    return end?.events === relay.getEvents() ? end.proof : undefined;
  };

  const createSink = (attempt: Attempt, server: BackendServer) =>
    createAnswerSink({
      clock,
      codec,
      request,
      relay,
      attempt,
      memory: deps.answerMemory,
      isLeaving: () => placer.isLeaving(server),
      mayRetryAfter: (verdict) =>
        attempts.mayRetryAfter(classifyAttempt(true, verdict, attempt.head?.signals)),
      findStop,
      recordOpenEnd,
      findOpenEnd,
      askServer: () => deps.askServer(server),
      runStep: parts.runStep,
      listener: {
        isCurrent: () => state.isCurrent(attempt),
        onCarried: (carrier) => {
          attempt.carrier = carrier;
          reports.report({ kind: "carried", server: server.entry.id, carrier });
        },
        onHead: (answerHead) => getSteps().handleHead(attempt, answerHead),
        onStreamBegun: () => getSteps().handleStreamBegun(attempt),
        onPassingOn: (excess) => {
          state.markMayHaveRun();
          if (excess)
            reports.report({ kind: "passed_on", server: server.entry.id, ...excess });
        },
        onWhole: () => getSteps().finishWhole(attempt),
        onFailure: (failure) => getSteps().handleFailure(attempt, failure),
        onHeadOnly: () => getSteps().concludeByHead(attempt),
      },
    });

  return {
    openAt: (server, continuation) => {
      const requestsThere = placer.countRequestsAt(server);
      const release = placer.place(server, head, demand);
      const attempt = createAttempt({
        server,
        openedAt: clock.monotonic(),
        requestsThere,
        eventsBefore: relay.getEvents(),
        release,
      });
      state.setCurrent(attempt);
      if (!continuation) attempt.silenceWatch = watchAttempt(attempt);
      attempt.exchange = deps.exchanges.open({
        server,
        isNewWork: continuation === undefined,
        build: () =>
          buildExchangeRequest(deps, clock, request, { server, demand, continuation }),
        sink: createSink(attempt, server),
      });
      return attempt;
    },
  };
};
