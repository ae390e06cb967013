/** Chooses the server of a dispatch, first and after failed attempts, or answers if there is none. */
import type { Ms } from "@stairgauge/common";
import type { PlacementDecision } from "@stairgauge/placement";
import { computeRetryAfter } from "./computeRetryAfter.js";
import type { PlacedDecision } from "./createDispatchReports.js";
import type { NoServerDecision } from "./createOwnAnswers.js";
import type { DispatchParts, RetryingSteps, SendingSteps } from "./dispatchParts.js";
import { mayRepeat } from "./mayRepeat.js";
import {
  placeAgain,
  placeByAdvice,
  type AdvisedSteps,
  type PlaceableRequest,
} from "./placeByAdvice.js";
import { computePlacingTerms, type PlacingTerms } from "./placeOrWait.js";
import { placePlainRequest, type PlainRequest } from "./placePlainRequest.js";

/** Places the request of one dispatch. */
export type CallPlacing = RetryingSteps &
  Readonly<{
    /** Places the request for the first time. */
    placeFirst: () => void;
    /** Ends the request if it is blocked because servers crashed under it; true if it was. */
    endIfBlocked: () => boolean;
    /** Stops waiting for a place. */
    leaveQueue: () => void;
  }>;

/**
 * Expected time of a plain request whose service's time is not known, as a share of its target: most
 * services answer well within it.
 */
const ASSUMED_WORK_SHARE = 0.25;

/**
 * Time from placing a plain request to its answer, as a factor of its service time: at a server whose
 * slots were all taken just before, it waits for as long as it then takes.
 */
const WORK_FACTOR = 2;

const buildPlainRequest = (
  { deps, request, demand, attempts }: DispatchParts,
  { share }: PlacingTerms,
): PlainRequest => {
  const { head, route, service, workspace, receivedAt, endsAt } = request;
  const assumed = route.firstAnswerAim * ASSUMED_WORK_SHARE;
  const serviceTime = deps.pace.estimateWork(service) ?? assumed;
  return {
    head,
    service,
    tier: demand.tier,
    regions: demand.regions,
    workspace: workspace?.name,
    subject: share?.subject,
    aimAt: (receivedAt + route.firstAnswerAim) as Ms,
    endsAt,
    workMs: (serviceTime * WORK_FACTOR) as Ms,
    except: attempts.tried,
  };
};

/** Creates the ways in which the request is placed first and again; each returns how to stop waiting. */
const createPlaces = (parts: DispatchParts, steps: AdvisedSteps) => {
  const { deps, request, demand, attempts } = parts;
  const placeable: PlaceableRequest = {
    id: request.head.id,
    demand,
    terms: computePlacingTerms(request),
    except: attempts.tried,
  };
  const placeFirst = () => placeByAdvice(deps, placeable, steps);
  const placeNext = () => placeAgain(deps, placeable, steps);
  if (request.route.kind === "stream") return { placeFirst, placeNext };
  const plain = buildPlainRequest(parts, placeable.terms);
  return {
    placeFirst: () => placePlainRequest(deps, plain, { ...steps, placeOpen: placeFirst }),
    placeNext: () => placePlainRequest(deps, plain, { ...steps, placeOpen: placeNext }),
  };
};

/** Creates the steps; `getSteps` returns those that may follow. */
export const createPlacing = (
  parts: DispatchParts,
  getSteps: () => SendingSteps,
): CallPlacing => {
  const { deps, request, state, relay, reports, guard, attempts, ownAnswers } = parts;
  const { route } = request;
  let leaveQueue = () => {};

  const endIfBlocked = (): boolean => {
    const block = guard.findBlock();
    if (block === undefined || relay.hasBegun()) return false;
    ownAnswers.answerBlocked(block, state.mayHaveRun());
    return true;
  };
  const sendTo = (decision: PlacedDecision, by?: string) => {
    attempts.recordChosen(decision.server.entry.id);
    reports.reportPlaced(decision, attempts.countSent() + 1, by);
    getSteps().openAt(decision.server);
  };
  const refuse = (decision: NoServerDecision) => {
    const { reason } = decision;
    if (reason === "no_room" || reason === "too_late") {
      const retryAfter = computeRetryAfter(decision, deps.retryAfter);
      ownAnswers.answerNoCapacity({ reason, retryAfter }, state.mayHaveRun());
      return;
    }
    if (state.mayHaveRun() && !mayRepeat(route))
      ownAnswers.answerUnknown("no_server_left");
    else ownAnswers.answerNoServer(decision);
  };
  const applyPlacement = (decision: PlacementDecision, by?: string) => {
    if (state.isOver() || endIfBlocked()) return;
    if (decision.kind === "placed") sendTo(decision, by);
    else refuse(decision);
  };
  /** Called from the queue and by answers of other boxes as well, which must go on if this request fails. */
  const handlePlacement = (decision: PlacementDecision, by?: string) =>
    parts.runStep(() => applyPlacement(decision, by));
  const { placeFirst, placeNext } = createPlaces(parts, {
    choose: attempts.choose,
    place: handlePlacement,
    report: reports.report,
    fail: (error) =>
      parts.runStep(() => {
        throw error;
      }),
  });

  return {
    endIfBlocked,
    leaveQueue: () => leaveQueue(),
    placeFirst: () => {
      if (endIfBlocked()) return;
      leaveQueue = placeFirst();
    },
    attemptNext: () => {
      if (state.isOver()) return;
      leaveQueue = placeNext();
    },
  };
};
