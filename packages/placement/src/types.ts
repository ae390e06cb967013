/** Types of requests, engine reports and placement decisions. */
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { StreamBinding } from "./streamBinding.js";
import type {
  BoxName,
  Ms,
  RegionName,
  ServiceName,
  WorkspaceName,
} from "@stairgauge/common";

/** A run placed on an engine. */
export type PlacedRun = Readonly<{
  id: string;
  promptTokens: number;
  /** Tokens that the run is expected to generate in total. */
  expectedOut: number;
  /** Whether the first event has arrived, so that the prompt has been processed. */
  hasBegun: boolean;
  /**
   * Whether the run must not be repeated, so that its memory has to be moved when its engine
   * leaves.
   */
  isMovable: boolean;
}>;

/** A run as reported by its engine. */
export type ReportedRun = Readonly<{
  /** Id of the request that the run answers. */
  id: string;
  tokensInMemory: number;
  eventsMade: number;
}>;

/** An engine's report on its own state, some hundred milliseconds old when it arrives. */
export type EngineReport = Readonly<{
  /** Wall time of the engine's start; undefined if the engine doesn't report it. */
  startedAt: Ms | undefined;
  isLeaving: boolean;
  /** Time until the engine shuts down; undefined if it doesn't report one. */
  leavesIn: Ms | undefined;
  waiting: number;
  /** Prompt tokens of the first waiting request. */
  firstWaitingTokens: number;
  running: number;
  memoryUsed: number;
  memoryTotal: number;
  runs: readonly ReportedRun[];
}>;

/** Requirements of a request for its server. */
export type Demand = Readonly<{
  /** Priority rank; 0 is the most urgent. */
  tier: number;
  /** Regions whose servers may serve the request; all regions if undefined. */
  regions?: readonly RegionName[] | undefined;
  /** Set for a stream that its client has already received events of. */
  binding?: StreamBinding | undefined;
  /**
   * Memory that a generation needs, in tokens: the prompt at least, and the expected output.
   * Undefined for plain requests.
   */
  tokens:
    | Readonly<{
        prompt: number;
        expectedOut: number;
        /**
         * Whether the generation must not be repeated, so that its memory has to be moved when its
         * engine leaves.
         */
        isMovable: boolean;
      }>
    | undefined;
}>;

/** Why a server was chosen. */
export type PlacementReason = "only_one" | "least_busy" | "most_free_memory";

/** Why no server takes a request now. */
export type NoServerReason =
  /** The service has no server that is not leaving. */
  | "none_known"
  /** The servers that are not leaving are all outside the allowed regions. */
  | "none_in_regions"
  /** No server that is not leaving has the software version that began the stream. */
  | "none_of_version"
  /** The servers that are not leaving are all in data halls closed to new work. */
  | "halls_closed"
  /**
   * The remaining servers may be cold and have already got as many requests as a cold server may
   * get.
   */
  | "servers_cold"
  /** The remaining servers have named a request limit, and this box has sent its part of it. */
  | "servers_limited"
  /** The remaining servers have refused this box and asked it to back off. */
  | "servers_resting"
  /** The remaining servers have as many requests of this box as it may open connections to them. */
  | "connections_used"
  /** All servers were tried. */
  | "none_left"
  | CapacityRefusal;

/** Why a plain request of a contended service is refused. */
export type CapacityRefusal =
  /** It would get no slot in time. */
  | "no_room"
  /** It cannot be answered before its deadline. */
  | "too_late";

/**
 * The limit of a server over all boxes, in requests per second, the deciding box's part of it in a
 * span, and how much of that part is used.
 */
export type PlacementLimit = Readonly<{ perSecond: number; part: number; used: number }>;

/** A placement decision, with the figures behind it. */
export type PlacementDecision = Readonly<
  | {
      kind: "placed";
      server: BackendServer;
      reason: PlacementReason;
      /**
       * Load of the chosen server when it was chosen: requests per slot, or share of memory in use.
       */
      load: number;
      /**
       * Share of the engine's memory in use or reserved once the request is placed; undefined for
       * plain servers.
       */
      memoryAfter: number | undefined;
      /** Age of the report that the load was computed from; undefined without a report. */
      reportAge: Ms | undefined;
      candidates: number;
      /**
       * Expected time to the answer of a plain request; undefined unless the service times of the
       * servers are uneven.
       */
      expectedMs?: number | undefined;
      /**
       * Number of servers skipped because they asked for a backoff; undefined if there are none.
       */
      resting?: number | undefined;
      /** The server's request limit; undefined if it has named none. */
      limited?: PlacementLimit | undefined;
    }
  | {
      kind: "no_server";
      reason: NoServerReason;
      known: number;
      /** Time until a server is expected to accept the request; undefined if unknown. */
      retryAfter?: Ms | undefined;
    }
>;

/** How a hub that places a generation for another box answers while every engine is full. */
export type PlaceUrgency = Readonly<
  /** It answers at once, with the engine that has the shortest wait. */
  | { kind: "at_once" }
  /** It answers that there is no free capacity. */
  | { kind: "if_room" }
  /**
   * It answers as soon as there is free capacity, or after `wait` with the engine that has the
   * shortest wait.
   */
  | { kind: "within"; wait: Ms }
>;

/** What the admitting box needs of a plain request whose service is contended. */
export type PlainTerms = Readonly<{
  workspace: WorkspaceName | undefined;
  /** Requests of one subject are kept in order. */
  subject: string | undefined;
  /** Time until the target and until the deadline of the answer; negative once it has passed. */
  aimInMs: Ms;
  endsInMs: Ms;
  /** Expected time from sending the request to its answer. */
  workMs: Ms;
}>;

/**
 * A question where to place a run. A box sends it to a hub, which has the placements of all boxes.
 */
export type PlaceQuestion = Readonly<{
  box: BoxName;
  run: PlacedRun;
  service: ServiceName;
  /** Priority rank; 0 is the most urgent. */
  tier: number;
  /** Servers that have already been tried. */
  except: readonly ServerId[];
  /** Regions whose servers may serve the request; all regions if undefined. */
  regions?: readonly RegionName[] | undefined;
  /** Set for a stream that its client takes up. Boxes of earlier releases ignore it. */
  binding?: StreamBinding | undefined;
  /** Who is charged for the run; undefined in the questions of older boxes. */
  sharer?: PlaceSharer | undefined;
  urgency: PlaceUrgency;
  /** Set for a plain request, whose run has no tokens. Boxes of earlier releases ignore it. */
  admission?: PlainTerms | undefined;
}>;

/** The workspace and subject that a placement is charged to. */
export type PlaceSharer = Readonly<{ workspace: string; subject: string }>;
