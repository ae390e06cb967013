/** What placement knows of servers and requests. */
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { BoxName, Ms, RegionName, ServiceName } from "@stairgauge/common";
import type { PlacedRun } from "./loadRegistry.js";

/** A run that an engine reports. */
export type ReportedRun = Readonly<{
  /** The id of the request that it answers. */
  id: string;
  tokensInMemory: number;
  eventsMade: number;
}>;

/** An engine's own account of itself, some hundred milliseconds old when it arrives. */
export type EngineReport = Readonly<{
  /** Time of day of the engine's start, where it says so. */
  startedAt: Ms | undefined;
  isLeaving: boolean;
  /** Time until it goes, if it knows. */
  leavesIn: Ms | undefined;
  waiting: number;
  /** Prompt tokens of the first that waits. */
  firstWaitingTokens: number;
  running: number;
  memoryUsed: number;
  memoryTotal: number;
  runs: readonly ReportedRun[];
}>;

/** What a request needs of a server. */
export type Demand = Readonly<{
  /** Rank, 0 first. */
  tier: number;
  /** Regions whose servers alone may serve it; all where absent. */
  regions?: readonly RegionName[] | undefined;
  /** Tokens of memory that a generation takes at least and may take; none for plain requests. */
  tokens:
    | Readonly<{
        prompt: number;
        expectedOut: number;
        /** It may run once only, so its memory has to be moved when its engine leaves. */
        isMovable: boolean;
      }>
    | undefined;
}>;

/** Why a server was chosen. */
export type PlacementReason = "only_one" | "least_busy" | "most_free_memory";

/** Why no server takes a request now. */
export type NoServerReason =
  /** None of the service is known that stays. */
  | "none_known"
  /** Those that stay stand in regions that the request must not leave for. */
  | "none_in_regions"
  /** Those that stay stand in data halls that are closed to new work. */
  | "halls_closed"
  /** Those left may be cold, and have had what a cold server may get. */
  | "servers_cold"
  /** Those left have named how many requests they take, and this box has sent its part. */
  | "servers_limited"
  /** Those left have turned this box away, and rest. */
  | "servers_resting"
  /** All others were tried, or hold as many connections as this box may open. */
  | "none_left";

/** How many requests a second a server takes from all boxes, the chooser's part of them in a span, and what of it was sent. */
export type PlacementLimit = Readonly<{ perSecond: number; part: number; used: number }>;

/** A choice, with the figures that made it. */
export type PlacementDecision = Readonly<
  | {
      kind: "placed";
      server: BackendServer;
      reason: PlacementReason;
      /** Load that the choice saw at the server chosen: requests a slot, or share of memory taken. */
      load: number;
      /** Share of the engine's memory that would be spoken for with the request; none for plain servers. */
      memoryAfter: number | undefined;
      /** Age of the report that the load rests on. */
      reportAge: Ms | undefined;
      candidates: number;
      /** Servers that were passed over since they rest; set where there are some. */
      resting?: number | undefined;
      /** Set where the server has named how many requests it takes. */
      limited?: PlacementLimit | undefined;
    }
  | {
      kind: "no_server";
      reason: NoServerReason;
      known: number;
      /** When one is expected to take the request, where that is known. */
      retryAfter?: Ms | undefined;
    }
>;

/** How whoever places a generation for another box is to answer while every engine is full. */
export type PlaceUrgency = Readonly<
  /** With the one where there is least to wait. */
  | { kind: "at_once" }
  /** By saying so. */
  | { kind: "if_room" }
  /** When there is room, at the latest after `wait` with the one where there is least to wait. */
  | { kind: "within"; wait: Ms }
>;

/** Where a run should go, asked by a box of one that sees what all have placed. */
export type PlaceQuestion = Readonly<{
  box: BoxName;
  run: PlacedRun;
  service: ServiceName;
  /** Rank, 0 first. */
  tier: number;
  /** Servers that have been tried. */
  except: readonly ServerId[];
  /** Regions whose servers alone may serve it; all where absent. */
  regions?: readonly RegionName[] | undefined;
  urgency: PlaceUrgency;
}>;
