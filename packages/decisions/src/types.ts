/** Events that the decision core handles, and the decisions that it returns. */
import type { BundleIndex } from "@stairgauge/bundle";
import type {
  BackendServerName,
  ModelName,
  Ms,
  RequestId,
  WorkspaceName,
} from "@stairgauge/common";

/** What the decision core needs of a request for a generation. */
export type GenerationRequest = Readonly<{
  id: RequestId;
  workspace: WorkspaceName;
  model: ModelName;
  /** Estimated length of the prompt, tokens. */
  promptTokens: number;
  /** Max length of the answer, tokens. */
  maxOutputTokens: number;
  /** When the request arrived, on the monotonic clock. Its waiting time counts from here. */
  arrivedAt: Ms;
}>;

/** What the decision core needs of an engine's load report. */
export type ReportedLoad = Readonly<{
  /** Streams that run on the engine. */
  running: number;
  /** Streams that wait on the engine. */
  waiting: number;
  /** Memory in use, tokens. */
  usedTokens: number;
  isLeaving: boolean;
}>;

/** Input of the decision core. */
export type DecisionEvent = Readonly<
  | { kind: "bundleAdopted"; index: BundleIndex }
  | { kind: "arrived"; request: GenerationRequest }
  /**
   * The attempt on `server` failed, so the request needs another engine. `isLeaving`: the server
   * refused it because it is leaving.
   */
  | {
      kind: "attemptFailed";
      request: RequestId;
      server: BackendServerName;
      isLeaving: boolean;
    }
  | { kind: "progressed"; request: RequestId; generatedTokens: number }
  /** The request is over: answered whole (`isWhole`), failed, or cancelled by its caller. */
  | { kind: "ended"; request: RequestId; generatedTokens: number; isWhole: boolean }
  | { kind: "loadReported"; server: BackendServerName; load: ReportedLoad }
  /** The platform's list says that the server is leaving, or no longer is. */
  | { kind: "serverMarked"; server: BackendServerName; isLeaving: boolean }
  /** Sent at a regular interval: refuses late requests and places waiting ones. */
  | { kind: "ticked" }
>;

/** Why an engine was chosen. */
export type PlacementReason = "only_one" | "least_busy";

/** Why a request waits. */
export type WaitingReason = "no_memory" | "no_slot" | "workspace_limit" | "behind_others";

/** Why a request was refused. The refused attempt has not run; earlier attempts may have. */
export type RefusalReason =
  "no_backend_server" | "queue_full" | "deadline_unreachable" | "too_large_for_memory";

/** An engine that was compared for a placement. */
export type Candidate = Readonly<{
  server: BackendServerName;
  /** Free memory forecast after this request is placed; negative if the request does not fit. */
  freeTokens: number;
  /** Estimated load of the engine, in streams. */
  busyness: number;
}>;

/** Output of the decision core. */
export type Decision = Readonly<
  | {
      kind: "placed";
      request: RequestId;
      server: BackendServerName;
      /** Rank of the request's tier; 0 is served first. */
      priority: number;
      reason: PlacementReason;
      considered: readonly Candidate[];
      /** Time from the request's arrival to this placement. */
      waited: Ms;
    }
  | {
      kind: "waiting";
      request: RequestId;
      reason: WaitingReason;
      /** Number of requests that were queued before this one. */
      ahead: number;
      considered: readonly Candidate[];
    }
  /** `retryAfter`: time after which the caller is asked to retry. */
  | { kind: "refused"; request: RequestId; reason: RefusalReason; retryAfter: Ms }
>;
