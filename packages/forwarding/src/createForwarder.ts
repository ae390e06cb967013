/** Handles clients' requests: reads them, admits or refuses them, and dispatches those admitted. */
import { assertNever, type Ms, type ServiceName } from "@stairgauge/common";
import {
  computeReadingTerms,
  computeTimeLimit,
  decideAccess,
  type AccessRefusal,
  type Route,
} from "@stairgauge/routing";
import type { AdmittedRequest } from "./admittedRequest.js";
import { createBodyMemory } from "./bodyMemory.js";
import type { HandleRequest } from "./boundedListener.js";
import { createClientAnswer } from "./clientAnswer.js";
import { createServerAsker } from "./createServerAsker.js";
import { dispatchCall, type DispatchedCall } from "./dispatchCall.js";
import type { RefusalReason } from "./forwardDecision.js";
import type { DispatchDeps, ForwarderDeps } from "./forwarderTypes.js";
import { fitsBeforeStop, type StopTimes } from "./fitsBeforeStop.js";
import { readRequestBody } from "./readRequestBody.js";
import { createReclaimableMemory } from "./reclaimableMemory.js";
import { sendOwnAnswer } from "./sendOwnAnswer.js";
import { describeFault } from "./runStep.js";
import { createCrashDetector } from "./crashDetector.js";
import { decideTakeUp, describeOrigin, isTakenUp } from "./takenUpStream.js";

/** Largest request body until a configuration is loaded. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** Time in which the body of a request has to arrive that would be refused by its head. */
const REFUSED_BODY_MS = 10_000 as Ms;

/** Retry delay while this box stops: another box takes the request as soon as the client connects to it. */
const OTHER_BOX_AFTER_MS = 20 as Ms;

const STATUS_OF_REFUSAL: Readonly<Record<AccessRefusal, number>> = {
  no_configuration: 503,
  knowledge_too_old: 503,
  workspace_unsendable: 503,
  no_such_route: 404,
  key_missing: 401,
  key_unknown: 401,
};

/** Handles the requests of one box. */
export type Forwarder = Readonly<{
  handle: HandleRequest;
  /**
   * Prepares for the stop of the box: every further answer closes its connection, and requests that would not be
   * answered by the end are refused so that their clients try another box. The end may become earlier meanwhile.
   */
  announceStop: (getEndsAt: () => Ms) => void;
  /**
   * Answers every request whose answer has not begun: it is refused if it was not sent to a server, and otherwise told
   * that it may have run. Requests that are read from now on are refused.
   */
  endUnanswered: () => void;
  /** Breaks off the answers that have begun. */
  breakBegun: () => void;
  countOpen: () => number;
  /** Ends requests that have been blocked because servers crashed while running them. */
  stopBlocked: () => void;
}>;

/** Creates the forwarder. */
export const createForwarder = (deps: ForwarderDeps): Forwarder => {
  const { clock, codec, configuration, placer, random } = deps;
  const askServer = createServerAsker(deps);
  const crashDetector = createCrashDetector({
    clock,
    ask: askServer,
    isLeaving: placer.isLeaving,
  });
  const answerMemory = createReclaimableMemory(deps.maxHeldAnswerBytes);
  const dispatchDeps: DispatchDeps = { ...deps, askServer, crashDetector, answerMemory };
  /** When the stop was announced and when answers must be out; undefined until then. */
  let getStop: (() => StopTimes) | undefined;
  /** Whether this box answers nothing any more but by refusals. */
  let hasEnded = false;
  /** Refuse the requests that are being read or wait to be dispatched. */
  const undispatched = new Set<() => void>();
  const calls = new Set<DispatchedCall>();
  const bodyMemory = createBodyMemory(deps.maxHeldBytes);
  let open = 0;

  const pickService = (route: Route): ServiceName => {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let point = random.nextFloat() * total;
    for (const share of route.shares) {
      point -= share.weight;
      if (point < 0) return share.service;
    }
    return route.shares.at(-1)!.service;
  };

  const handle: HandleRequest = (incoming, response, countUnread) => {
    const receivedAt = clock.monotonic();
    const head = codec.decodeRequest({
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      headers: incoming.rawHeaders,
    });
    let isLast = false;
    /** Whether the request was refused before its body was complete, or before it could be dispatched. */
    let isRefusedEarly = false;
    const answer = createClientAnswer(response, {
      isLastOnConnection: () => getStop !== undefined || isLast || deps.isShort(),
      onBegun: () =>
        deps.unreadLimit.recordAnswer((clock.monotonic() - receivedAt) as Ms),
      onBufferFull: countUnread,
    });
    let route: Route | undefined;
    const refuse = (status: number, reason: RefusalReason, pause = deps.retryAfter) => {
      const retryAfter = status === 503 ? pause : undefined;
      const ownAnswer = { status, reason, retryAfter };
      sendOwnAnswer(deps, { head, route, answer, receivedAt }, ownAnswer);
    };
    const reportClientLeft = () => {
      const sinceReceived = (clock.monotonic() - receivedAt) as Ms;
      const subject = { head, route: undefined, sinceReceived };
      deps.observer.onDecision(subject, {
        kind: "client_left",
        events: 0,
        framing: undefined,
      });
    };
    /** Ends a request that this box failed to admit; nothing of it was sent. */
    const endByFault = (error: unknown) => {
      const sinceReceived = (clock.monotonic() - receivedAt) as Ms;
      const detail = describeFault(error);
      deps.observer.onDecision(
        { head, route, sinceReceived },
        { kind: "step_failed", detail },
      );
      if (answer.hasBegun()) answer.break();
      else refuse(503, "box_failed");
    };
    const refuseLongBody = () => {
      isLast = true;
      refuse(413, "body_too_long");
    };
    /** The rest of the body is not read, so the connection can't serve another request. */
    const refuseUnread = (status: number, reason: RefusalReason, pause?: Ms) => {
      isLast = true;
      isRefusedEarly = true;
      refuse(status, reason, pause);
    };
    const refuseAtEnd = () => {
      if (!answer.isOver()) refuseUnread(503, "box_is_stopping", OTHER_BOX_AFTER_MS);
    };
    const refuseForMemory = () => refuseUnread(503, "too_many_bodies_held");
    const decideByHead = () =>
      decideAccess(configuration.getIndex(), configuration.getFreshness(), {
        host: head.host,
        path: head.target,
        key: head.key,
      });
    const access = decideByHead();
    const isAdmitted = access.kind === "admitted";
    // Clients that the site doesn't serve decide nothing about others.
    if (isAdmitted)
      deps.unreadLimit.recordRead(computeReadingTerms(access.route, head.patience));
    const share = bodyMemory.open({ isAdmitted, onGivenUp: refuseForMemory });
    let call: DispatchedCall | undefined;
    let hasLeft = false;
    open += 1;
    undispatched.add(refuseAtEnd);
    response.once("close", () => {
      open -= 1;
      undispatched.delete(refuseAtEnd);
      share.release();
      hasLeft = true;
      call?.onClientLeft();
      if (call) calls.delete(call);
    });

    if (hasEnded) {
      refuseAtEnd();
      return;
    }
    const limit =
      configuration.getIndex()?.configuration.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
    if ((head.contentLength ?? 0) > limit) {
      refuseLongBody();
      return;
    }
    if (!share.fits(head.contentLength ?? 0)) {
      refuseForMemory();
      return;
    }

    const dispatch = (request: AdmittedRequest) => {
      undispatched.delete(refuseAtEnd);
      const now = clock.monotonic();
      const stop = getStop?.();
      if (stop && !fitsBeforeStop({ ...stop, now, head, route: request.route })) {
        refuse(503, "box_is_stopping", OTHER_BOX_AFTER_MS);
        return;
      }
      call = dispatchCall(dispatchDeps, request);
      if (!hasLeft) calls.add(call);
    };
    /** A stream that its client takes up goes on only at the software that began it. */
    const takeUp = async (request: AdmittedRequest) => {
      const origin = describeOrigin(request);
      const resolved = await deps.origins.resolve(origin);
      if (isRefusedEarly) return;
      if (hasLeft) {
        reportClientLeft();
        return;
      }
      const decision = decideTakeUp(resolved, request.route, deps.retryAfter);
      if (decision.kind === "refused") {
        const { reason, retryAfter } = decision;
        sendOwnAnswer(
          deps,
          { head, route, answer, receivedAt },
          { status: 503, reason, retryAfter },
        );
        return;
      }
      const { binding, source } = decision;
      const sinceReceived = (clock.monotonic() - receivedAt) as Ms;
      deps.observer.onDecision(
        { head, route, sinceReceived },
        { kind: "taken_up", ...binding, resumes: origin.requestId, source },
      );
      dispatch({ ...request, service: binding.service, binding });
    };

    const admit = (body: Buffer) => {
      const access = decideByHead();
      route = access.route;
      if (access.kind === "refused") {
        refuse(STATUS_OF_REFUSAL[access.reason], access.reason);
        return;
      }
      const request: AdmittedRequest = {
        head,
        body,
        route: access.route,
        workspace: access.workspace,
        service: pickService(access.route),
        binding: undefined,
        receivedAt,
        endsAt: (receivedAt + computeTimeLimit(access.route, head.patience)) as Ms,
        answer,
      };
      if (isTakenUp(access.route, head)) void takeUp(request).catch(endByFault);
      else dispatch(request);
    };

    const readWithin = isAdmitted
      ? computeTimeLimit(access.route, head.patience)
      : REFUSED_BODY_MS;
    const readTimer = clock.setTimeLimit(readWithin, () => {
      if (!answer.isOver()) refuseUnread(408, "body_too_late");
    });
    const handleBody = (read: Awaited<ReturnType<typeof readRequestBody>>) => {
      readTimer.cancel();
      share.finish();
      if (isRefusedEarly) return;
      if (hasLeft) {
        reportClientLeft();
        return;
      }
      if (read.ok) {
        admit(read.val);
        return;
      }
      switch (read.val.kind) {
        case "client_left":
          reportClientLeft();
          return;
        case "no_memory":
          refuseForMemory();
          return;
        case "too_long":
          refuseLongBody();
          return;
        default:
          assertNever(read.val);
      }
    };
    void readRequestBody({ incoming, limit, share }).then(handleBody).catch(endByFault);
  };

  return {
    handle,
    announceStop: (getEndsAt) => {
      const announcedAt = clock.monotonic();
      getStop = () => ({ announcedAt, endsAt: getEndsAt() });
      for (const call of [...calls]) call.refuseIfWaiting(getStop(), OTHER_BOX_AFTER_MS);
    },
    endUnanswered: () => {
      hasEnded = true;
      for (const refuseAtEnd of [...undispatched]) refuseAtEnd();
      for (const call of [...calls]) call.endUnanswered(OTHER_BOX_AFTER_MS);
    },
    breakBegun: () => {
      for (const call of [...calls]) call.breakBegun();
    },
    countOpen: () => open,
    stopBlocked: () => {
      for (const call of [...calls]) call.stopIfBlocked();
    },
  };
};
