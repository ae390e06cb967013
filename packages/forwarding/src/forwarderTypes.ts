/** What the forwarder needs of the rest of the system. */
import type { Clock, Ms, Random, ServiceName } from "@stairgauge/common";
import type { BrokenRun, RequestDigest, RequestGuard } from "@stairgauge/crashes";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Demand, PlacementDecision, PlacementLimit } from "@stairgauge/placement";
import type {
  AccessRefusal,
  ConfigurationIndex,
  Route,
  ConfigurationFreshness,
  WorkspaceSpec,
} from "@stairgauge/routing";
import type { ReceivedSignals } from "@stairgauge/signals";
import type { ActiveRun, ActiveRuns, RunKeeper } from "./activeRuns.js";
import type { ClientAnswer } from "./clientAnswer.js";
import type { BytesEnd, Framing, ServerStatus } from "./describeBytesEnd.js";
import type { PlacementAdvisor } from "./placeByAdvice.js";
import type { WaitQueue } from "./waitQueue.js";
import type { RetryBudget } from "./retryBudget.js";
import type { ServerAsker } from "./createServerAsker.js";
import type { ServerEnd, ServerEnds } from "./serverEnds.js";
import type { HeadCodec, RequestHead } from "./types.js";

/** What is known when a request comes. */
export type ConfigurationView = Readonly<{
  getIndex: () => ConfigurationIndex | undefined;
  getFreshness: () => ConfigurationFreshness;
  getAge: () => Ms;
}>;

/** Why the system itself ends a request. */
export type RefusalReason =
  | AccessRefusal
  | "body_too_long"
  | "too_many_bodies_held"
  | "box_is_stopping"
  /** Every server that was asked says that it did not run the request. */
  | "no_server_ran_it"
  | "no_server_known"
  /** All servers that stay stand in regions that the request must not go to. */
  | "no_server_in_regions"
  /** All servers that stay stand in data halls that operators have closed to new work. */
  | "data_halls_closed"
  /** The servers left have just started, and have had what they bear. */
  | "servers_cold"
  /** The servers left have named how many requests they take, and have had them. */
  | "servers_limited"
  /** The servers left have turned this box away, and rest. */
  | "servers_resting"
  /** A server may have run it, and no other is left to ask. */
  | "no_server_left"
  | "answer_lost"
  /** Servers have ended under it, so it goes to none. */
  | "servers_end_under_it"
  | "out_of_time_unsent"
  | "out_of_time";

/** A decision that touches a request; each is logged as one line. */
export type ForwardDecision = Readonly<
  | {
      kind: "refused";
      reason: RefusalReason;
      /** What the last server did, where one was asked. */
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
      /** The box that made the choice, where this one asked another. */
      by: string | undefined;
    }
  /** Every engine is full: it waits for room, at this box beside others or at the one that was asked. */
  | { kind: "waits"; memoryAfter: number; waiting: number | undefined }
  | (BytesEnd & { kind: "retry"; server: ServerId; reason: string; detail: string })
  /** The same run goes on at another server. */
  | (BytesEnd & { kind: "continued"; from: ServerId; to: ServerId; events: number })
  /** A new run of another server goes on after the last whole event. */
  | (BytesEnd & { kind: "resumed"; from: ServerId; to: ServerId; events: number })
  | (BytesEnd & { kind: "continuation_refused"; to: ServerId; detail: string })
  /** The server broke the request off; what became of it was found out afterwards. */
  | (ServerEnd &
      BrokenRun & {
        kind: "server_broke";
        server: ServerId;
        digest: RequestDigest;
        /** Requests at the server when it broke, this one included, as far as this box knows. */
        aboard: number;
      })
  | { kind: "answered"; server: ServerId; status: number }
  | (BytesEnd & {
      kind: "stream_ended";
      server: ServerId;
      events: number;
      firstEventAfter: Ms;
      longestPause: Ms;
      /** Time from the request to the end of the longest pause. */
      longestPauseAfter: Ms;
    })
  | (BytesEnd & { kind: "stream_lost"; server: ServerId; events: number; detail: string })
  /** The framing is that of the answer that was open. */
  | { kind: "client_left"; events: number; framing: Framing | undefined }
  | {
      kind: "out_of_time";
      mayHaveRun: boolean;
      events: number;
      framing: Framing | undefined;
    }
>;

/** Where decisions are told. */
export type ForwardObserver = Readonly<{
  onDecision: (subject: DecisionSubject, decision: ForwardDecision) => void;
}>;

/** The request that a decision is about. */
export type DecisionSubject = Readonly<{
  head: RequestHead;
  /** Absent while no route is found for it. */
  route: Route | undefined;
  sinceReceived: Ms;
}>;

/** How placements are made and kept. */
export type Placer = Readonly<{
  choose: (
    service: ServiceName,
    demand: Demand,
    except: ReadonlySet<ServerId>,
  ) => PlacementDecision;
  /** A request has been let in; it may then be placed any number of times, or never. */
  recordArrival: (service: ServiceName, tier: number) => void;
  /** Notes a request at a server until the returned function is called. */
  place: (server: BackendServer, head: RequestHead, demand: Demand) => () => void;
  /** A run's first event has come from the server. */
  onRunBegun: (server: BackendServer, head: RequestHead) => void;
  /** Requests at a server, as far as this box knows. */
  countAboard: (server: BackendServer) => number;
  /** Whether a server gets no new work, as known now. */
  isLeaving: (server: BackendServer) => boolean;
  /** What is known of a server now. */
  getServerStatus: (server: BackendServer) => ServerStatus;
  /** The server's address belongs to another one now. */
  onAddressReused: (server: BackendServer) => void;
  /** No connection came up: the server may be dead, though its entry still stands. */
  onUnreachable: (server: BackendServer) => void;
  /** The server broke off a request that it was sent, before it answered. */
  onBroken: (server: BackendServer) => void;
  /** The server has begun to answer a request. */
  onAnswered: (server: BackendServer) => void;
  /** Whether the server may be asked if it is there, which takes a place there like a request; a yes counts as one. */
  takeAsk: (server: BackendServer) => boolean;
  /** Whether a run that has begun may go on at a server now; a yes counts as a request there. */
  takeContinuation: (server: BackendServer) => boolean;
  /** Whether a server answers anything at all, asked now. */
  isAlive: (server: BackendServer) => Promise<boolean>;
}>;

/** Collaborators of the forwarder. */
export type ForwarderDeps = Readonly<{
  clock: Clock;
  random: Random;
  codec: HeadCodec;
  configuration: ConfigurationView;
  placer: Placer;
  budget: RetryBudget;
  runs: ActiveRuns;
  waitingRoom: WaitQueue;
  adviser: PlacementAdvisor;
  runKeeper: RunKeeper;
  guard: Pick<RequestGuard, "getStatus" | "recordCrash" | "recordServed">;
  /** Takes what a server says of itself in an answer. */
  dispatchSignals: (heard: ReceivedSignals) => void;
  observer: ForwardObserver;
  /** When a refused client should come back. */
  retryAfter: Ms;
  /** How long a connection to a server may take to come up. */
  connectLimit: Ms;
  /** Bytes of bodies that are held at once; beyond it requests are refused, not run. */
  mostHeldBytes: number;
}>;

/** What each dispatch needs: the forwarder's collaborators, and what all its dispatches share. */
export type DispatchDeps = ForwarderDeps &
  Readonly<{ askServer: ServerAsker; serverEnds: ServerEnds }>;

/** A request that was let in. */
export type AdmittedRequest = Readonly<{
  head: RequestHead;
  body: Buffer;
  route: Route;
  workspace: WorkspaceSpec | undefined;
  service: ServiceName;
  receivedAt: Ms;
  /** Time by which it must have its final answer. */
  endsAt: Ms;
  answer: ClientAnswer;
}>;

export type { ActiveRun };
