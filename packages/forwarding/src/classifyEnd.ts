/**
 * Decides whether an answer that has ended is complete. A length or chunks mark its end reliably. A
 * closed connection does not: the kernel also closes the connections of a killed process normally, at
 * any point of an answer. A stream that ends within an event is incomplete in any case. Pure.
 */
import { assertNever } from "@stairgauge/common";
import type { RunStop } from "./activeRuns.js";
import type { ServerPresence } from "./askServer.js";
import type { EndedBy } from "./openExchange.js";

/** An answer that has ended without an error. */
export type EndedAnswer = Readonly<{
  endedBy: EndedBy;
  /** Whether the next step depends on the body, not on the head alone. */
  isBodyNeeded: boolean;
  /** Bytes of the incomplete last event. */
  bytesLeft: number;
  /** Whether the answer is the success of a request for a stream, or of the rest of one, and holds no event. */
  isStreamUnbegun: boolean;
  /** Whether the former server of the stream left its end to this one (`left_to_next`), behind the client's last event. */
  isEndLeftOpen: boolean;
  /** Whether the answer is a stream that can go on at another server, and its own one is about to stop. */
  isSettledElsewhere: boolean;
}>;

/** Whether the answer is complete, as far as can be found out. */
export type SettledEnd = Readonly<{ kind: "whole" } | { kind: "cut"; detail: string }>;

/** Whether the answer is complete by what was received. */
export type EndProof = Readonly<
  | SettledEnd
  /** Complete if this box didn't have the run stopped and the server's process still runs. */
  | { kind: "unproven" }
  /** Ended behind an event; the next server tells whether more follows. */
  | { kind: "left_to_next"; detail: string }
>;

/** Classifies an end by what was received. */
export const classifyEnd = (ended: EndedAnswer): EndProof => {
  if (ended.bytesLeft > 0) return { kind: "cut", detail: "ended within an event" };
  if (ended.endedBy === "framing" || !ended.isBodyNeeded) return { kind: "whole" };
  // A server that fails where it would begin also closes here, so this alone proves nothing.
  if (ended.isStreamUnbegun)
    return ended.isEndLeftOpen
      ? { kind: "unproven" }
      : { kind: "cut", detail: "connection ended before the first event" };
  if (ended.isSettledElsewhere)
    return {
      kind: "left_to_next",
      detail: "connection ended without an end of the stream",
    };
  return { kind: "unproven" };
};

/** Classifies an unproven end by whether this box had the run stopped: a stopped stream ends without its rest. */
export const classifyEndByStop = (
  stop: RunStop,
): SettledEnd | Readonly<{ kind: "unproven" }> => {
  switch (stop) {
    case "none":
      return { kind: "unproven" };
    case "stopped":
      return { kind: "cut", detail: "connection ended, and its run was stopped" };
    case "unknown":
      return {
        kind: "cut",
        detail: "connection ended, and its run may have been stopped",
      };
    default:
      return assertNever(stop);
  }
};

/**
 * Classifies an unproven end by a health check right after it. `undefined` means that the server has
 * no health path; its answer then counts as complete.
 */
export const classifyEndByPresence = (
  presence: ServerPresence | undefined,
): SettledEnd => {
  if (!presence || presence.kind === "present") return { kind: "whole" };
  const detail = `connection ended, and its server is not known to live: ${presence.detail}`;
  return { kind: "cut", detail };
};

/**
 * Classifies an end without events by the proof of the former server's end, which was left to it. Each of them alone may
 * be that of a server that failed: a rest is empty only if both servers closed in order.
 */
export const classifyRest = (former: SettledEnd, own: SettledEnd): SettledEnd =>
  former.kind === "cut"
    ? { kind: "cut", detail: `no rest, but the former server's ${former.detail}` }
    : own;
