/** Describes for the log how the answer of an attempt ended, with the state of the stream and of the server. Pure. */
import type { Ms } from "@stairgauge/common";
import { describeEnd, type AttemptEnd } from "./decideNext.js";
import type { EndedBy } from "./openExchange.js";
import type { StreamSegment, StreamRelay } from "./streamRelay.js";
import type { AnswerHead } from "./types.js";

/** How an answer marks its end; `none`: it has no body and ends with its head. */
export type Framing = "length" | "chunks" | "connection" | "none";

/** Status of a server by a box's records. */
export type ServerStatus = Readonly<{
  /** `leaving`: gets no new work; `gone`: is not listed, or another server has its address. */
  kind: "ready" | "leaving" | "gone";
  /** Age of the leaving evidence or load report behind the status; undefined if there is neither. */
  age: Ms | undefined;
}>;

/** How an attempt ended; `left_open`: it was given up because its server did not answer. */
export type AnswerClosing = AttemptEnd | Readonly<{ kind: "left_open" }>;

/** Fields of each log line about the end of an answer. */
export type AnswerEnd = Readonly<{
  /** Undefined if no head arrived. */
  framing: Framing | undefined;
  /** `by_framing`, `in_order` for a connection that ended the answer, `by_head` if the rest was not awaited, `left_open`, or the failure's detail. */
  closed: string;
  /** Id of the last event that the client received; undefined if there is none or it has no id. */
  lastEventId: string | undefined;
  /** Bytes of an incomplete event. */
  bytesLeft: number;
  /** How often the stream was continued at another server before. */
  continuations: number;
  /** Status of the server at that time. */
  serverStanding: ServerStatus["kind"];
  /** Age of the data behind `serverStanding`, in milliseconds. */
  standingAgeMs: Ms | undefined;
}>;

/** Inputs of the description. */
export type AnswerEndInputs = Readonly<{
  head: AnswerHead | undefined;
  /** Undefined unless the answer ended without an error. */
  endedBy: EndedBy | undefined;
  closing: AnswerClosing;
  relay: Pick<StreamRelay, "getLastEventId"> & Pick<StreamSegment, "countBytesLeft">;
  continuations: number;
  status: ServerStatus;
}>;

/** Derives the framing from the head, and from what ended the body. */
export const deriveFraming = (
  head: Pick<AnswerHead, "contentLength" | "isUnframed">,
  endedBy?: EndedBy,
): Framing => {
  if (head.isUnframed) return endedBy === "framing" ? "none" : "connection";
  return head.contentLength === undefined ? "chunks" : "length";
};

const describeEndedBy = (endedBy: EndedBy | undefined): string => {
  switch (endedBy) {
    case "connection":
      return "in_order";
    case "framing":
      return "by_framing";
    case undefined:
      return "by_head";
  }
};

const describeClosing = (
  closing: AnswerClosing,
  endedBy: EndedBy | undefined,
): string => {
  switch (closing.kind) {
    case "left_open":
      return closing.kind;
    case "failed":
      return describeEnd(closing);
    case "answered":
      return describeEndedBy(endedBy);
  }
};

/** Describes the end of an answer; must be called before its incomplete bytes are dropped. */
export const describeAnswerEnd = (inputs: AnswerEndInputs): AnswerEnd => {
  const { head, endedBy, closing, relay, continuations, status } = inputs;
  return {
    framing: head && deriveFraming(head, endedBy),
    closed: describeClosing(closing, endedBy),
    lastEventId: relay.getLastEventId(),
    bytesLeft: relay.countBytesLeft(),
    continuations,
    serverStanding: status.kind,
    standingAgeMs: status.age,
  };
};
