/** Continues an interrupted stream: the same run at another server, or a new run if that is allowed. */
import type { RunContinuation } from "./activeRuns.js";
import type { Attempt } from "./attempt.js";
import type { PreviousServer } from "./createDispatchReports.js";
import { describeEnd, toContinuationOutcome, type AttemptEnd } from "./decideNext.js";
import type {
  ContinuingSteps,
  DispatchParts,
  EndingSteps,
  SendingSteps,
} from "./dispatchParts.js";

/** Largest number of continuations of one run; after these it is not recovered any more. */
const MAX_CONTINUATIONS = 12;

/** Creates the steps; `getSteps` returns those that may follow. */
export const createContinuing = (
  parts: DispatchParts,
  getSteps: () => EndingSteps & SendingSteps,
): ContinuingSteps => {
  const { deps, state, relay, sampler, reports, guard, attempts } = parts;
  const { placer, runKeeper } = deps;

  const continueRun = (previous: PreviousServer, { server, memory }: RunContinuation) => {
    reports.reportContinuation("continued", previous, server);
    getSteps().openAt(server, { lastEventId: relay.getLastEventId(), memory });
  };

  /** If the route allows it, starts a new run at another server that continues after the last complete event. */
  const resumeWithNewRun = (previous: PreviousServer): boolean => {
    const decision = attempts.takeNewRun();
    if (!decision) return false;
    reports.reportContinuation("resumed", previous, decision.server);
    const lastEventId = relay.getLastEventId();
    getSteps().openAt(decision.server, { lastEventId, memory: undefined });
    return true;
  };

  const recoverRun = async (detail: string) => {
    const run = state.getRun();
    if (!run || state.countContinuations() > MAX_CONTINUATIONS) return undefined;
    return runKeeper.recover(run, detail);
  };

  /** The entry of a server may name another version than when the stream began there; then neither is certain. */
  const checkBinding = ({ server }: Attempt) => {
    const binding = state.getBinding();
    if (binding?.softwareVersion === undefined) return;
    const { softwareVersion } = placer.getBinding(server);
    if (softwareVersion !== binding.softwareVersion)
      state.setBinding({ ...binding, softwareVersion: undefined });
  };

  const continueElsewhere = async (attempt: Attempt, end: AttemptEnd) => {
    const ended = reports.describeAttemptEnd(attempt, end);
    const previous: PreviousServer = { from: attempt.server, ended };
    const detail = describeEnd(end);
    sampler.reset();
    checkBinding(attempt);
    state.dropCurrent();
    if (!relay.canContinue() || !(await guard.mayContinue(attempt.server))) {
      if (!state.isOver()) getSteps().failStream(previous, detail);
      return;
    }
    if (state.isOver()) return;
    if (state.countContinuations() === 0) attempts.recordEnd("counts");
    state.addContinuation();
    const continuation = await recoverRun(detail);
    if (state.isOver()) return;
    const mayContinue =
      continuation && placer.takeContinuation(continuation.server, state.getBinding());
    if (mayContinue && guard.mayRepeat()) {
      continueRun(previous, continuation);
      return;
    }
    if (!resumeWithNewRun(previous)) getSteps().failStream(previous, detail);
  };

  return {
    continueElsewhere: (attempt, end) =>
      parts.runStep(() => continueElsewhere(attempt, end)),
    handleContinuationFailure: (attempt, end) => {
      reports.reportContinuationRefused(attempt, end);
      const run = state.getRun();
      if (run) runKeeper.onContinued(run, toContinuationOutcome(end));
      parts.runStep(() => continueElsewhere(attempt, end));
    },
  };
};
