/**
 * Messages of a carried request: one that a box without a path to the server sends by way of another
 * box, its carrier.
 */
import type { BoxName, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** A request that another box is asked to send to a server as it is. */
export type CarryQuestion = Readonly<{
  server: ServerId;
  /** Whether the server gets new work, which a leaving server must not get. */
  isNewWork: boolean;
  method: string;
  /** Path and query. */
  target: string;
  /** Names and values in turn, as the server receives them. */
  headers: readonly string[];
  body: Buffer;
}>;

/** Why a box does not carry a request; nothing was sent. */
export type CarryRefusal =
  /** The box has lost its own path to the server. */
  | "path_lost"
  /** The box carries as much as it may. */
  | "no_room"
  | "stopping"
  | "server_unknown"
  | "server_leaving"
  /** The request does not fit into a head, so no box can send it. */
  | "unsendable"
  /** A box of an earlier release. */
  | "not_supported";

/** One step of a carried request, in the order in which the carrier sends them. */
export type CarryFrame = Readonly<
  | { kind: "refused"; reason: CarryRefusal }
  /** The carrier could not connect to the server; nothing was sent. */
  | { kind: "unreached"; detail: string }
  /** The carrier is connected: the server may have received the request from now on. */
  | { kind: "connected" }
  | { kind: "head"; status: number; reason: string; headers: readonly string[] }
  | { kind: "data"; bytes: Buffer }
  /** The answer has ended without an error. */
  | { kind: "ended"; by: "framing" | "connection" }
  /** The exchange between the carrier and the server failed. */
  | { kind: "failed"; as: "broken" | "malformed"; detail: string }
>;

/** Receives the frames of a carried request at the asking box; `onEnd` is final. */
export type CarrySink = Readonly<{
  onFrame: (frame: CarryFrame) => void;
  /** The call has ended; `detail` says why if it did not end normally. */
  onEnd: (detail: string | undefined) => void;
}>;

/** A carried request in progress, at the asking box. */
export type CarryCall = Readonly<{
  /** Ends the call at both boxes; the sink is not called any more. */
  cancel: () => void;
  pause: () => void;
  resume: () => void;
}>;

/** Asks another box to carry a request; undefined if there is no way to ask it. */
export type CallCarrier = (
  box: BoxName,
  question: CarryQuestion,
  sink: CarrySink,
) => CarryCall | undefined;

/** What a carrier sends back. */
export type CarryAnswer = Readonly<{
  /** Returns false if the asking box reads more slowly than frames are written. */
  write: (frame: CarryFrame) => boolean;
  end: () => void;
}>;

/** What a carrier does when the asking box acts. */
export type CarriedHandlers = Readonly<{
  onCancelled: () => void;
  /** The asking box reads again. */
  onDrain: () => void;
}>;

/** Carries the request of another box. */
export type AnswerCarry = (
  question: CarryQuestion,
  answer: CarryAnswer,
) => CarriedHandlers;

/** How a connection to a server failed before it was established. */
export type UnreachedCause = "refused" | "no_connection";

/** A change of what a box believes about its paths. */
export type PathEvent = Readonly<
  /** `carrier` reached a server that this box did not reach. */
  | { kind: "lost"; server: ServerId; cause: UnreachedCause; carrier: BoxName }
  | { kind: "regained"; server: ServerId; lasted: Ms }
  /** Several servers in a row were lost, and none was reached since: all paths count as lost. */
  | { kind: "all_lost"; servers: number }
  /** A server was reached: other servers are tried again. */
  | { kind: "some_left" }
  /** Neither this box nor a carrier reaches the server. */
  | { kind: "down"; server: ServerId; detail: string }
>;
