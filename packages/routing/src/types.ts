/** Types of the operators' configuration, independent of its format at the platform. */
import type {
  Brand,
  Ms,
  RegionName,
  ServiceName,
  WorkspaceName,
} from "@stairgauge/common";

/** Name of a route in the configuration. */
export type RouteName = Brand<string, "RouteName">;

/** Version of a configuration; versions rise, but may skip numbers. */
export type ConfigurationVersion = Brand<number, "ConfigurationVersion">;

/** How often a request of a route may run, and how it is answered. */
export type RouteKind =
  /** May run more than once. */
  | "repeatable"
  /** Runs at most once. */
  | "once"
  /** Is answered with an event stream; runs at most once unless the route is resumable. */
  | "stream";

/** A service that receives a share of a route's requests, in proportion to its weight. */
export type ServiceShare = Readonly<{ service: ServiceName; weight: number }>;

/** A route: the requests to a host below a path prefix. */
export type Route = Readonly<{
  name: RouteName;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Whether a new run at another server may continue an interrupted stream. */
  isResumable: boolean;
  /** Whether requests need no key. */
  isKeyless: boolean;
  /** Time limit of a request until its final answer. */
  answerLimit: Ms;
  /** Target time to the answer, or to the first event of a stream. */
  firstAnswerAim: Ms;
  /** Target for the longest pause between events of a stream; undefined on routes without streams. */
  pauseAim: Ms | undefined;
  /** Largest number of servers that one request may be sent to. */
  maxServers: number;
  /** Priority of the route, 0 is the highest. */
  tier: number;
  /** Regions whose servers may get its requests; all if undefined. */
  regions?: readonly RegionName[] | undefined;
  shares: readonly ServiceShare[];
}>;

/** Capacity and abilities of each engine of a service. */
export type EngineTraits = Readonly<{
  slots: number;
  memoryTokens: number;
  bytesPerToken: number;
  linkMbps: number;
  canMove: boolean;
  canBackUp: boolean;
  /** How long an engine keeps a copy of a run's memory. */
  copyLife: Ms;
}>;

/** Warm-up of a service's servers after their start. */
export type WarmUp = Readonly<{
  /** How long a server stays cold. */
  duration: Ms;
  /** Requests per second that a cold server can handle, from all callers together. */
  perSecond: number;
}>;

/** A service. */
export type ServiceSpec = Readonly<{
  name: ServiceName;
  /** Connections that one server accepts from all callers together. */
  maxConnections: number;
  /** Path of the health check, whose answer also identifies the server; undefined if there is none. */
  healthPath: string | undefined;
  /** Undefined if servers need no warm-up. */
  warmUp: WarmUp | undefined;
  /** Set if the service's servers are model engines. */
  engine: EngineTraits | undefined;
}>;

/** A workspace and its keys. */
export type WorkspaceSpec = Readonly<{
  name: WorkspaceName;
  keys: readonly string[];
  /** Overrides the route's priority if set. */
  tier: number | undefined;
  /** Regions whose servers may get its requests, among those that the route allows; all if undefined. */
  regions?: readonly RegionName[] | undefined;
  /** Whether its name cannot be sent to servers as it is, so that they would take its requests for another's. */
  isUnsendable?: boolean;
}>;

/** Limits on the size of a client's requests, and on how long a client may take to send a head or be idle. */
export type ClientLimits = Readonly<{
  headerBytes: number;
  bodyBytes: number;
  headerTime: Ms;
  idleTime: Ms;
}>;

/** A complete configuration. */
export type FleetConfiguration = Readonly<{
  version: ConfigurationVersion;
  routes: readonly Route[];
  services: readonly ServiceSpec[];
  limits: ClientLimits;
  /** Undefined if requests need no keys. */
  workspaces: readonly WorkspaceSpec[] | undefined;
}>;
