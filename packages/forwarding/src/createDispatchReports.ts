/** Tells the observer what becomes of one request: each decision with what it rests on. */
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { PlacementDecision } from "@stairgauge/placement";
import { countBytesLeft, type Attempt } from "./attempt.js";
import { describeEnd, type AttemptEnd } from "./decideNext.js";
import {
  deriveFraming,
  describeBytesEnd,
  type BytesClosing,
  type BytesEnd,
} from "./describeBytesEnd.js";
import type {
  AdmittedRequest,
  ForwardDecision,
  ForwarderDeps,
} from "./forwarderTypes.js";
import { describeStreamEnd, type StreamRelay } from "./streamRelay.js";

/** A choice of a server. */
export type PlacedDecision = Extract<PlacementDecision, { kind: "placed" }>;

/** A server that a stream has left, and how its bytes ended there. */
export type LeftServer = Readonly<{ from: BackendServer; ended: BytesEnd }>;

type ServerBroke = Extract<ForwardDecision, { kind: "server_broke" }>;

/** What the reports are made of. */
export type DispatchReportParts = Readonly<{
  deps: Pick<ForwarderDeps, "clock" | "placer" | "observer">;
  request: AdmittedRequest;
  relay: StreamRelay;
  /** How often the stream has gone on elsewhere. */
  countContinuations: () => number;
}>;

const getOpenFraming = (open: Attempt | undefined) =>
  open?.head && deriveFraming(open.head);

/** Creates the reports of one request. */
export const createDispatchReports = (parts: DispatchReportParts) => {
  const { deps, request, relay, countContinuations } = parts;
  const { clock, placer, observer } = deps;
  const { head, route, receivedAt } = request;

  const tell = (decision: ForwardDecision) => {
    const sinceReceived = (clock.monotonic() - receivedAt) as Ms;
    observer.onDecision({ head, route, sinceReceived }, decision);
  };
  /** To be asked before what is left of the bytes is dropped. */
  const describeBytes = (attempt: Attempt, closing: BytesClosing): BytesEnd =>
    describeBytesEnd({
      head: attempt.head,
      endedBy: attempt.endedBy,
      closing,
      relay: {
        getLastEventId: relay.getLastEventId,
        countBytesLeft: () => countBytesLeft(attempt),
      },
      continuations: countContinuations(),
      standing: placer.getServerStatus(attempt.server),
    });

  return {
    tell,
    describeBytes,
    tellPlaced: (decision: PlacedDecision, attempt: number, by: string | undefined) => {
      const { kind, server, reason, load, reportAge, candidates, resting, limited } =
        decision;
      const { id } = server.entry;
      const seen = { load, reportAge, candidates, resting, limited };
      tell({ kind, server: id, attempt, reason, ...seen, by });
    },
    tellRetry: (attempt: Attempt, reason: string, detail: string, ended: BytesEnd) => {
      const { id } = attempt.server.entry;
      tell({ kind: "retry", server: id, reason, detail, ...ended });
    },
    tellGoesOn: (kind: "continued" | "resumed", left: LeftServer, to: BackendServer) => {
      const { from, ended } = left;
      const events = relay.getEvents();
      tell({ kind, from: from.entry.id, to: to.entry.id, events, ...ended });
    },
    tellContinuationRefused: (attempt: Attempt, end: AttemptEnd) => {
      const { id } = attempt.server.entry;
      const detail = describeEnd(end);
      const ended = describeBytes(attempt, end);
      tell({ kind: "continuation_refused", to: id, detail, ...ended });
    },
    tellBroke: (server: BackendServer, broke: Omit<ServerBroke, "kind" | "server">) =>
      tell({ kind: "server_broke", server: server.entry.id, ...broke }),
    tellAnswered: ({ server, head: answerHead }: Attempt) =>
      tell({ kind: "answered", server: server.entry.id, status: answerHead!.status }),
    tellStreamEnded: (attempt: Attempt, end: AttemptEnd) => {
      const { id } = attempt.server.entry;
      const pace = describeStreamEnd(relay, { receivedAt, now: clock.monotonic() });
      tell({ ...pace, server: id, ...describeBytes(attempt, end) });
    },
    tellStreamLost: ({ from, ended }: LeftServer, detail: string) => {
      const events = relay.getEvents();
      tell({ kind: "stream_lost", server: from.entry.id, events, detail, ...ended });
    },
    tellOutOfTime: (open: Attempt | undefined, mayHaveRun: boolean) => {
      const events = relay.getEvents();
      tell({ kind: "out_of_time", mayHaveRun, events, framing: getOpenFraming(open) });
    },
    tellClientLeft: (open: Attempt | undefined) => {
      const events = relay.getEvents();
      tell({ kind: "client_left", events, framing: getOpenFraming(open) });
    },
  };
};
