/** Reports the decisions about one request to the observer, with the data behind them. */
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { PlacementDecision } from "@stairgauge/placement";
import { countBytesLeft, type Attempt } from "./attempt.js";
import { describeEnd, type AttemptEnd } from "./decideNext.js";
import {
  deriveFraming,
  describeAnswerEnd,
  type AnswerClosing,
  type AnswerEnd,
} from "./describeAnswerEnd.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { ForwardDecision } from "./forwardDecision.js";
import type { ForwarderDeps } from "./forwarderTypes.js";
import { describeStreamEnd, type StreamRelay } from "./streamRelay.js";

/** A placement decision that chose a server. */
export type PlacedDecision = Extract<PlacementDecision, { kind: "placed" }>;

/** The previous server of a stream, and how its answer ended. */
export type PreviousServer = Readonly<{ from: BackendServer; ended: AnswerEnd }>;

type ServerBroke = Extract<ForwardDecision, { kind: "server_broke" }>;

/** Options of the reports. */
export type DispatchReportsOptions = Readonly<{
  deps: Pick<ForwarderDeps, "clock" | "placer" | "observer">;
  request: AdmittedRequest;
  relay: StreamRelay;
  /** How often the stream was continued at another server. */
  countContinuations: () => number;
}>;

const getOpenFraming = (open: Attempt | undefined) =>
  open?.head && deriveFraming(open.head);

/** Creates the reports of one request. */
export const createDispatchReports = (options: DispatchReportsOptions) => {
  const { deps, request, relay, countContinuations } = options;
  const { clock, placer, observer } = deps;
  const { head, route, receivedAt } = request;

  const report = (decision: ForwardDecision) => {
    const sinceReceived = (clock.monotonic() - receivedAt) as Ms;
    observer.onDecision({ head, route, sinceReceived }, decision);
  };
  /** Must be called before the attempt's incomplete bytes are dropped. */
  const describeAttemptEnd = (attempt: Attempt, closing: AnswerClosing): AnswerEnd =>
    describeAnswerEnd({
      head: attempt.head,
      endedBy: attempt.endedBy,
      closing,
      relay: {
        getLastEventId: relay.getLastEventId,
        countBytesLeft: () => countBytesLeft(attempt),
      },
      continuations: countContinuations(),
      status: placer.getServerStatus(attempt.server),
    });

  return {
    report,
    describeAttemptEnd,
    reportPlaced: (decision: PlacedDecision, attempt: number, by: string | undefined) => {
      const { kind, server, reason, load, reportAge, candidates, resting, limited } =
        decision;
      const { id } = server.entry;
      const seen = { load, reportAge, candidates, resting, limited };
      report({ kind, server: id, attempt, reason, ...seen, by });
    },
    reportRetry: (attempt: Attempt, reason: string, detail: string, ended: AnswerEnd) => {
      const { id } = attempt.server.entry;
      report({ kind: "retry", server: id, reason, detail, ...ended });
    },
    reportContinuation: (
      kind: "continued" | "resumed",
      previous: PreviousServer,
      to: BackendServer,
    ) => {
      const { from, ended } = previous;
      const events = relay.getEvents();
      const versions = {
        fromVersion: from.entry.softwareVersion,
        toVersion: to.entry.softwareVersion,
      };
      report({
        kind,
        from: from.entry.id,
        to: to.entry.id,
        ...versions,
        events,
        ...ended,
      });
    },
    reportContinuationRefused: (attempt: Attempt, end: AttemptEnd) => {
      const { id } = attempt.server.entry;
      const detail = describeEnd(end);
      const ended = describeAttemptEnd(attempt, end);
      report({ kind: "continuation_refused", to: id, detail, ...ended });
    },
    reportBroken: (server: BackendServer, broke: Omit<ServerBroke, "kind" | "server">) =>
      report({ kind: "server_broke", server: server.entry.id, ...broke }),
    reportAnswered: ({ server, head: answerHead }: Attempt) =>
      report({ kind: "answered", server: server.entry.id, status: answerHead!.status }),
    reportStreamEnded: (attempt: Attempt, end: AttemptEnd) => {
      const { id } = attempt.server.entry;
      const pace = describeStreamEnd(relay, { receivedAt, now: clock.monotonic() });
      report({ ...pace, server: id, ...describeAttemptEnd(attempt, end) });
    },
    reportStreamLost: ({ from, ended }: PreviousServer, detail: string) => {
      const events = relay.getEvents();
      report({ kind: "stream_lost", server: from.entry.id, events, detail, ...ended });
    },
    reportOutOfTime: (open: Attempt | undefined, mayHaveRun: boolean) => {
      const events = relay.getEvents();
      report({ kind: "out_of_time", mayHaveRun, events, framing: getOpenFraming(open) });
    },
    reportStopReached: (open: Attempt | undefined, mayHaveRun: boolean) => {
      const events = relay.getEvents();
      report({ kind: "stop_reached", mayHaveRun, events, framing: getOpenFraming(open) });
    },
    reportClientLeft: (open: Attempt | undefined) => {
      const events = relay.getEvents();
      report({ kind: "client_left", events, framing: getOpenFraming(open) });
    },
  };
};

/** The reports of one request. */
export type DispatchReports = ReturnType<typeof createDispatchReports>;
