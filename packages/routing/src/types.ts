/** What the operators' configuration says, in the product's own words. */
import type {
  Brand,
  Ms,
  RegionName,
  ServiceName,
  WorkspaceName,
} from "@stairgauge/common";

/** Name of a route, as the configuration gives it. */
export type RouteName = Brand<string, "RouteName">;

/** Version of a configuration; versions rise in uneven steps. */
export type ConfigurationVersion = Brand<number, "ConfigurationVersion">;

/** How often one request of a route may run, and how its answer comes. */
export type RouteKind =
  /** May run more than once. */
  | "repeatable"
  /** Runs once at most. */
  | "once"
  /** Answers with a stream of events; runs once at most unless it may be resumed. */
  | "stream";

/** A service that takes part of a route's requests. */
export type ServiceShare = Readonly<{ service: ServiceName; weight: number }>;

/** One route. */
export type Route = Readonly<{
  name: RouteName;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Another server may go on with a stream of this route. */
  isResumable: boolean;
  /** Needs no key. */
  isKeyless: boolean;
  /** The longest a request may be held. */
  answerLimit: Ms;
  /** First answer (of a stream: first event) that earns full credit. */
  firstAnswerAim: Ms;
  /** Longest pause between events that keeps a stream in time; absent on plain routes. */
  pauseAim: Ms | undefined;
  /** The largest number of servers that one request may be sent to. */
  maxServers: number;
  /** Rank of the route, 0 first. */
  tier: number;
  /** Regions whose servers alone may get its requests; all where absent. */
  regions?: readonly RegionName[] | undefined;
  shares: readonly ServiceShare[];
}>;

/** What the engines of a service can do. */
export type EngineTraits = Readonly<{
  slots: number;
  memoryTokens: number;
  bytesPerToken: number;
  linkMbps: number;
  canMove: boolean;
  canBackUp: boolean;
  /** How long a copied memory is kept for its run. */
  copyLife: Ms;
}>;

/** How the servers of a service warm up after a start. */
export type WarmUp = Readonly<{
  /** How long a server stays cold. */
  duration: Ms;
  /** Requests a second that it bears meanwhile, from all callers together. */
  perSecond: number;
}>;

/** One service. */
export type ServiceSpec = Readonly<{
  name: ServiceName;
  /** Connections that one server takes from all callers together. */
  maxConnections: number;
  /** Where a server says whether it is well, and which one it is. */
  healthPath: string | undefined;
  /** Absent where servers bear all that they can from their start on. */
  warmUp: WarmUp | undefined;
  /** Present when its servers are model engines. */
  engine: EngineTraits | undefined;
}>;

/** A workspace and the keys that belong to it. */
export type WorkspaceSpec = Readonly<{
  name: WorkspaceName;
  keys: readonly string[];
  /** Goes before the route's rank when given. */
  tier: number | undefined;
  /** Regions whose servers alone may get its requests, of those that the route allows; all where absent. */
  regions?: readonly RegionName[] | undefined;
}>;

/** Bounds on what a client may send and how long it may take. */
export type ClientLimits = Readonly<{
  headerBytes: number;
  bodyBytes: number;
  headerTime: Ms;
  idleTime: Ms;
}>;

/** One whole configuration. */
export type FleetConfiguration = Readonly<{
  version: ConfigurationVersion;
  routes: readonly Route[];
  services: readonly ServiceSpec[];
  limits: ClientLimits;
  /** Absent when requests carry no keys. */
  workspaces: readonly WorkspaceSpec[] | undefined;
}>;
