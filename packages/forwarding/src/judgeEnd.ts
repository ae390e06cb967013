/**
 * What the end of a server's answer proves. A length and chunks say where an answer ends; the end of a connection does not:
 * the kernel closes it in order for a process that was killed, wherever that was in its answer. A stream that ends within an
 * event has lost the rest of it, whatever ended it. Pure.
 */
import type { ServerPresence } from "./askServer.js";
import type { EndedBy } from "./openExchange.js";

/** An answer whose connection or framing has come to its end, without a reset. */
export type EndedAnswer = Readonly<{
  endedBy: EndedBy;
  /** What is done next rests on the body, not on the head alone. */
  isBodyNeeded: boolean;
  /** The answer is a stream that is passed on event by event. */
  isStream: boolean;
  /** Bytes of an event whose end has not come. */
  bytesLeft: number;
  /** The server gets no new work, so that a run may have been stopped there on request. */
  isLeaving: boolean;
}>;

/** What is concluded from the end. */
export type EndProof = Readonly<
  | { kind: "whole" }
  | { kind: "cut"; detail: string }
  /** Whether the server's process is still there tells. */
  | { kind: "unproven" }
>;

/** Judges an end by what came. */
export const judgeEnd = (ended: EndedAnswer): EndProof => {
  if (ended.bytesLeft > 0) return { kind: "cut", detail: "ended within an event" };
  if (ended.endedBy === "framing" || !ended.isBodyNeeded) return { kind: "whole" };
  if (!ended.isStream) return { kind: "unproven" };
  if (ended.isLeaving)
    return { kind: "cut", detail: "connection ended without an end of the stream" };
  return { kind: "unproven" };
};

/** Judges an unproven end by what its server says right after it; a server that cannot be asked is taken at its word. */
export const judgeEndBy = (presence: ServerPresence | undefined): EndProof => {
  if (!presence || presence.kind === "present") return { kind: "whole" };
  const detail = `connection ended, and its server is not known to live: ${presence.detail}`;
  return { kind: "cut", detail };
};
