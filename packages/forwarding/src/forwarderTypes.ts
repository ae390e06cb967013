/** The forwarder's dependencies, its decisions, and the requests that it handles. */
import type { Clock, Ms, Random, ServiceName } from "@stairgauge/common";
import type { InterruptedRun, RequestDigest, RequestGuard } from "@stairgauge/crashes";
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
import type { AnswerEnd, Framing, ServerStatus } from "./describeAnswerEnd.js";
import type { PlacementAdvisor } from "./placeByAdvice.js";
import type { WaitQueue } from "./waitQueue.js";
import type { RetryBudget } from "./retryBudget.js";
import type { ServerAsker } from "./createServerAsker.js";
import type { CrashCheck, CrashDetector } from "./crashDetector.js";
import type { HeadCodec, RequestHead } from "./types.js";

/** Read access to the current configuration and to how recently it was confirmed. */
export type ConfigurationView = Readonly<{
  getIndex: () => ConfigurationIndex | undefined;
  getFreshness: () => ConfigurationFreshness;
  getAge: () => Ms;
}>;

/** Why the box answers a request itself. */
export type RefusalReason =
  | AccessRefusal
  | "body_too_long"
  | "too_many_bodies_held"
  | "box_is_stopping"
  /** Every server that was sent the request states that it did not run it. */
  | "no_server_ran_it"
  | "no_server_known"
  /** All available servers are in regions that the request must not be sent to. */
  | "no_server_in_regions"
  /** All available servers are in data halls that operators have closed to new work. */
  | "data_halls_closed"
  /** The remaining servers have just started and already have all requests allowed during warm-up. */
  | "servers_cold"
  /** The remaining servers have announced a request limit, and it is used up. */
  | "servers_limited"
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
  /**
   * Every engine is full: the request waits for capacity. `waiting` is the length of this box's queue;
   * undefined if the request waits at another box.
   */
  | { kind: "waits"; memoryAfter: number; waiting: number | undefined }
  | (AnswerEnd & { kind: "retry"; server: ServerId; reason: string; detail: string })
  /** The same run continues at another server. */
  | (AnswerEnd & { kind: "continued"; from: ServerId; to: ServerId; events: number })
  /** A new run at another server continues after the last complete event. */
  | (AnswerEnd & { kind: "resumed"; from: ServerId; to: ServerId; events: number })
  | (AnswerEnd & { kind: "continuation_refused"; to: ServerId; detail: string })
  /** The server broke the connection; afterwards the box checked whether the server crashed. */
  | (CrashCheck &
      InterruptedRun & {
        kind: "server_broke";
        server: ServerId;
        digest: RequestDigest;
        /** Requests at the server when the connection broke, including this one, by this box's records. */
        aboard: number;
      })
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
  /** `framing` describes the answer that was in progress; undefined if there was none. */
  | { kind: "client_left"; events: number; framing: Framing | undefined }
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

/** Chooses servers, and keeps track of the requests at each. */
export type Placer = Readonly<{
  choose: (
    service: ServiceName,
    demand: Demand,
    except: ReadonlySet<ServerId>,
  ) => PlacementDecision;
  /** Records that a request was admitted; it may then be placed any number of times, or never. */
  recordArrival: (service: ServiceName, tier: number) => void;
  /** Counts a request at a server until the returned function is called. */
  place: (server: BackendServer, head: RequestHead, demand: Demand) => () => void;
  /** The server sent the first event of a run. */
  onRunBegun: (server: BackendServer, head: RequestHead) => void;
  /** Number of requests at a server, by this box's records. */
  countRequestsAt: (server: BackendServer) => number;
  /** Whether a server gets no new work because it is about to stop. */
  isLeaving: (server: BackendServer) => boolean;
  /** Current status of a server. */
  getServerStatus: (server: BackendServer) => ServerStatus;
  /** The server's address belongs to another server now. */
  onAddressReused: (server: BackendServer) => void;
  /** No connection was established: the server may be dead although it is still listed. */
  onUnreachable: (server: BackendServer) => void;
  /** The server broke the connection of a request before it answered. */
  onBroken: (server: BackendServer) => void;
  /** The server has started to answer a request. */
  onAnswered: (server: BackendServer) => void;
  /** Whether the server may get a health check now. It occupies a slot, so true counts as a request there. */
  takeAsk: (server: BackendServer) => boolean;
  /** Whether a started run may continue at the server now; true counts as a request there. */
  takeContinuation: (server: BackendServer) => boolean;
  /** Sends the server a call; resolves with whether it answers at all. */
  isAlive: (server: BackendServer) => Promise<boolean>;
}>;

/** Dependencies of the forwarder. */
export type ForwarderDeps = Readonly<{
  clock: Clock;
  random: Random;
  codec: HeadCodec;
  configuration: ConfigurationView;
  placer: Placer;
  budget: RetryBudget;
  runs: ActiveRuns;
  waitQueue: WaitQueue;
  advisor: PlacementAdvisor;
  runKeeper: RunKeeper;
  guard: Pick<RequestGuard, "getStatus" | "recordCrash" | "recordServed">;
  /** Handles the signals that an answer carries about its server. */
  dispatchSignals: (received: ReceivedSignals) => void;
  observer: ForwardObserver;
  /** Delay after which a refused client should retry. */
  retryAfter: Ms;
  /** Timeout for establishing a connection to a server. */
  connectLimit: Ms;
  /** Largest total size of request bodies in memory; requests beyond it are refused without being run. */
  maxHeldBytes: number;
}>;

/** Dependencies of a dispatch: those of the forwarder, and what all its dispatches share. */
export type DispatchDeps = ForwarderDeps &
  Readonly<{ askServer: ServerAsker; crashDetector: CrashDetector }>;

/** A request that passed access control. */
export type AdmittedRequest = Readonly<{
  head: RequestHead;
  body: Buffer;
  route: Route;
  workspace: WorkspaceSpec | undefined;
  service: ServiceName;
  receivedAt: Ms;
  /** Deadline of the final answer. */
  endsAt: Ms;
  answer: ClientAnswer;
}>;

export type { ActiveRun };
