/** Events into the decision core and decisions out of it. */
import type { BundleIndex } from "@stairgauge/bundle";
import type {
  BackendServerName,
  ModelName,
  Ms,
  RequestId,
  WorkspaceName,
} from "@stairgauge/common";

/** A request for a generation, as the decisions see it. */
export type GenerationRequest = Readonly<{
  id: RequestId;
  workspace: WorkspaceName;
  model: ModelName;
  /** Estimated length of the prompt, tokens. */
  promptTokens: number;
  /** Most tokens that the answer may have. */
  maxOutputTokens: number;
  /** How long the caller has waited already when this is handed over. */
  arrivedAt: Ms;
}>;

/** What the core needs of an engine's load report. */
export type ReportedLoad = Readonly<{
  running: number;
  waiting: number;
  usedTokens: number;
  isLeaving: boolean;
}>;

/** What the core is told. */
export type DecisionEvent = Readonly<
  | { kind: "bundleAdopted"; index: BundleIndex }
  | { kind: "arrived"; request: GenerationRequest }
  /** The attempt on `server` failed; the request wants another place. */
  | {
      kind: "attemptFailed";
      request: RequestId;
      server: BackendServerName;
      isLeaving: boolean;
    }
  | { kind: "progressed"; request: RequestId; generatedTokens: number }
  /** The request is over, whether answered, failed or given up by its caller. */
  | { kind: "ended"; request: RequestId; generatedTokens: number; isWhole: boolean }
  | { kind: "loadReported"; server: BackendServerName; load: ReportedLoad }
  | { kind: "serverMarked"; server: BackendServerName; isLeaving: boolean }
  | { kind: "ticked" }
>;

/** Why an engine was chosen. */
export type PlacementReason = "only_one" | "least_busy";

/** Why a request waits. */
export type WaitingReason = "no_memory" | "no_slot" | "workspace_limit" | "behind_others";

/** Why a request was refused. Nothing of it has run. */
export type RefusalReason =
  "no_backend_server" | "queue_full" | "deadline_unreachable" | "too_large_for_memory";

/** An engine that was looked at. */
export type Candidate = Readonly<{
  server: BackendServerName;
  /** Room that the forecast leaves after this request; negative where it does not fit. */
  freeTokens: number;
  /** How busy the engine is held to be, in streams. */
  busyness: number;
}>;

/** What the core decided. */
export type Decision = Readonly<
  | {
      kind: "placed";
      request: RequestId;
      server: BackendServerName;
      priority: number;
      reason: PlacementReason;
      considered: readonly Candidate[];
      waited: Ms;
    }
  | {
      kind: "waiting";
      request: RequestId;
      reason: WaitingReason;
      ahead: number;
      considered: readonly Candidate[];
    }
  | { kind: "refused"; request: RequestId; reason: RefusalReason; retryAfter: Ms }
>;
