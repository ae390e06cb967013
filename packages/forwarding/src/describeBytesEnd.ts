/** Says how the bytes of one attempt ended, and what its box held of the stream and knew of the server then. Pure. */
import type { Ms } from "@stairgauge/common";
import { describeEnd, type AttemptEnd } from "./decideNext.js";
import type { EndedBy } from "./openExchange.js";
import type { StreamSegment, StreamRelay } from "./streamRelay.js";
import type { AnswerHead } from "./types.js";

/** How a server's answer says where it ends; `none`: it has no body, and ends with its head. */
export type Framing = "length" | "chunks" | "connection" | "none";

/** What a box knows of a server. */
export type ServerStatus = Readonly<{
  /** `leaving`: gets no new work; `gone`: has no entry, or another server has its address. */
  kind: "ready" | "leaving" | "gone";
  /** How long ago the box heard it, by a mark or the last report; undefined when neither is kept. */
  age: Ms | undefined;
}>;

/** How an attempt's bytes ended; an attempt is left open when its server is silent. */
export type BytesClosing = AttemptEnd | Readonly<{ kind: "left_open" }>;

/** What every line about the end of an attempt's bytes carries. */
export type BytesEnd = Readonly<{
  /** Undefined when no head came. */
  framing: Framing | undefined;
  /** `by_framing`, `in_order` for a connection that ended the answer, `left_open`, or the failure's detail. */
  closed: string;
  /** Id of the last whole event of the stream that has one. */
  lastEventId: string | undefined;
  /** Bytes of an event whose end had not come. */
  bytesLeft: number;
  /** How often the stream had gone on elsewhere. */
  continuations: number;
  serverStanding: ServerStatus["kind"];
  /** How old the knowledge behind `serverStanding` was, in milliseconds. */
  standingAgeMs: Ms | undefined;
}>;

/** What the description is made of. */
export type BytesEndInputs = Readonly<{
  head: AnswerHead | undefined;
  /** Undefined while the answer has not ended without an error. */
  endedBy: EndedBy | undefined;
  closing: BytesClosing;
  relay: Pick<StreamRelay, "getLastEventId"> & Pick<StreamSegment, "countBytesLeft">;
  continuations: number;
  standing: ServerStatus;
}>;

/** Derives the framing from what the head says of its body, and from what ended that. */
export const deriveFraming = (
  head: Pick<AnswerHead, "contentLength" | "isUnframed">,
  endedBy?: EndedBy,
): Framing => {
  if (head.isUnframed) return endedBy === "framing" ? "none" : "connection";
  return head.contentLength === undefined ? "chunks" : "length";
};

const describeClosing = (closing: BytesClosing, endedBy: EndedBy | undefined): string => {
  switch (closing.kind) {
    case "left_open":
      return closing.kind;
    case "failed":
      return describeEnd(closing);
    case "answered":
      return endedBy === "connection" ? "in_order" : "by_framing";
  }
};

/** Describes the end of an attempt's bytes; to be asked before what is left of them is dropped. */
export const describeBytesEnd = (inputs: BytesEndInputs): BytesEnd => {
  const { head, endedBy, closing, relay, continuations, standing } = inputs;
  return {
    framing: head && deriveFraming(head, endedBy),
    closed: describeClosing(closing, endedBy),
    lastEventId: relay.getLastEventId(),
    bytesLeft: relay.countBytesLeft(),
    continuations,
    serverStanding: standing.kind,
    standingAgeMs: standing.age,
  };
};
