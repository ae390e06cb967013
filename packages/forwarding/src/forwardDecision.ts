/** The forwarder's decisions about requests, and who receives them. */
import type { BoxName, Ms } from "@stairgauge/common";
import type { InterruptedRun, RequestDigest } from "@stairgauge/crashes";
import type { ServerId, SoftwareVersion } from "@stairgauge/directory";
import type { OriginSource } from "@stairgauge/origins";
import type { PlacementLimit, StreamBinding } from "@stairgauge/placement";
import type { AccessRefusal, Route } from "@stairgauge/routing";
import type { AnswerExcess } from "./answerLimits.js";
import type { CrashCheck } from "./crashDetector.js";
import type { AnswerEnd, Framing } from "./describeAnswerEnd.js";
import type { RequestHead } from "./types.js";

/** Why the box answers a request itself. */
export type RefusalReason =
  | AccessRefusal
  | "body_too_long"
  | "too_many_bodies_held"
  /** The client did not send its whole body within the time limit of the request. */
  | "body_too_late"
  /** The request would not have ended before this box does, or had not. */
  | "box_is_stopping"
  /** A fault of this box, before the request was sent to any server. */
  | "box_failed"
  /** Every server that was sent the request states that it did not run it. */
  | "no_server_ran_it"
  | "no_server_known"
  /** This box has as many requests at the remaining servers as it may open connections to them. */
  | "server_connections_used"
  /** All available servers are in regions that the request must not be sent to. */
  | "no_server_in_regions"
  /** No server has the software version that began the stream. */
  | "no_server_of_version"
  /** It is not certain which software version began the stream that the client takes up. */
  | "origin_not_known"
  /** All available servers are in data halls that operators have closed to new work. */
  | "data_halls_closed"
  /** The remaining servers have just started and already have all requests allowed during warm-up. */
  | "servers_cold"
  /** The remaining servers have announced a request limit, and it is used up. */
  | "servers_limited"
  /** No slot is free, and the request would miss its target in the queue while newer ones overtake it. */
  | "no_room"
  /** No slot becomes free early enough to answer the request before its deadline. */
  | "too_late"
  /** The remaining servers have asked this box for a backoff that is not over. */
  | "servers_resting"
  /** A server may have run the request, and there is no other server to try. */
  | "no_server_left"
  /** The request may have run, but its answer was lost and it must not run again. */
  | "answer_lost"
  /** Servers crashed while they ran the request, so it is sent to no server. */
  | "servers_end_under_it"
  /** The time limit passed before the request was sent to any server. */
  | "out_of_time_unsent"
  | "out_of_time";

/** The servers between which a started stream passes, with the versions of their software. */
export type StreamHandover = Readonly<{
  from: ServerId;
  to: ServerId;
  fromVersion: SoftwareVersion | undefined;
  toVersion: SoftwareVersion | undefined;
  /** Events that the client has received. */
  events: number;
}>;

/** A decision about a request; each is logged as one line. */
export type ForwardDecision = Readonly<
  | {
      kind: "refused";
      reason: RefusalReason;
      /** How the last attempt ended; undefined if there was none. */
      detail: string | undefined;
      status: number;
      retryAfter: Ms | undefined;
    }
  | {
      kind: "placed";
      server: ServerId;
      attempt: number;
      reason: string;
      load: number;
      reportAge: Ms | undefined;
      candidates: number;
      resting: number | undefined;
      limited: PlacementLimit | undefined;
      /** The box that chose the server; undefined if this box chose it. */
      by: string | undefined;
    }
  /** The client takes a stream up, which goes on at servers of one software version only. */
  | (StreamBinding & {
      kind: "taken_up";
      resumes: string | undefined;
      source: OriginSource;
    })
  /**
   * Every engine is full: the request waits for capacity. `waiting` is the length of this box's queue;
   * undefined if the request waits at another box.
   */
  | { kind: "waits"; memoryAfter: number; waiting: number | undefined }
  /** The question to the box that should place the request threw, so this box places it as without an answer. */
  | { kind: "advice_failed"; detail: string }
  | (AnswerEnd & { kind: "retry"; server: ServerId; reason: string; detail: string })
  /** The same run continues at another server. */
  | (AnswerEnd & StreamHandover & { kind: "continued" })
  /** A new run at another server continues after the last complete event. */
  | (AnswerEnd & StreamHandover & { kind: "resumed" })
  | (AnswerEnd & { kind: "continuation_refused"; to: ServerId; detail: string })
  /** The server broke the connection; afterwards the box checked whether the server crashed. */
  | (CrashCheck &
      InterruptedRun & {
        kind: "server_broke";
        server: ServerId;
        digest: RequestDigest;
        /** Ids of the parts of the prompt that are suspects beside the whole request. */
        parts: readonly string[];
        /** Requests at the server when the connection broke, including this one, by this box's records. */
        aboard: number;
      })
  /** This box has lost its path to the server, so `carrier` sends the request. */
  | { kind: "carried"; server: ServerId; carrier: BoxName }
  /** A sound answer that was held is forwarded as it arrives: other answers need the memory. */
  | (AnswerExcess & { kind: "passed_on"; server: ServerId })
  | { kind: "answered"; server: ServerId; status: number }
  | (AnswerEnd & {
      kind: "stream_ended";
      server: ServerId;
      events: number;
      firstEventAfter: Ms;
      longestPause: Ms;
      /** Time from the request to the end of the longest pause. */
      longestPauseAfter: Ms;
    })
  | (AnswerEnd & {
      kind: "stream_lost";
      server: ServerId;
      events: number;
      detail: string;
    })
  /** A step of the dispatch threw, which is a bug in this program; the request ends. */
  | { kind: "step_failed"; detail: string }
  /** `framing` describes the answer that was in progress; undefined if there was none. */
  | { kind: "client_left"; events: number; framing: Framing | undefined }
  /** This box stops, and the request has no whole answer: it gets one that says so, or its answer breaks off. */
  | {
      kind: "stop_reached";
      mayHaveRun: boolean;
      events: number;
      framing: Framing | undefined;
    }
  | {
      kind: "out_of_time";
      mayHaveRun: boolean;
      events: number;
      framing: Framing | undefined;
    }
>;

/** Receives the forwarder's decisions. */
export type ForwardObserver = Readonly<{
  onDecision: (subject: DecisionSubject, decision: ForwardDecision) => void;
}>;

/** The request that a decision is about. */
export type DecisionSubject = Readonly<{
  head: RequestHead;
  /** Undefined if no route was found, or none was looked up yet. */
  route: Route | undefined;
  /** Time since the box received the request. */
  sinceReceived: Ms;
}>;
