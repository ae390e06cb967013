/** The streams that this box relays. */
import type { RegionName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Demand, StreamBinding } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import { TOKENS_PER_EVENT } from "./computeDemand.js";
import type { StreamRelay } from "./streamRelay.js";
import type { ClientRequestId, RunMemory } from "./types.js";

/** One stream in progress. */
export type ActiveRun = Readonly<{
  id: ClientRequestId;
  route: Route;
  /** Regions in which the run may continue; all if undefined. */
  regions?: readonly RegionName[] | undefined;
  /** What binds the run to certain servers; undefined until its client has received an event. */
  getBinding: () => StreamBinding | undefined;
  /** The current server; between two servers, the previous one. */
  getServer: () => BackendServer;
  /** Whether its first event has arrived. */
  hasBegun: () => boolean;
  getEventsMade: () => number;
  /** Estimated tokens in the engine's memory: the prompt and the output so far. */
  getTokens: () => number;
  /** Expected remaining output tokens, by the client's estimate. */
  getTokensLeft: () => number;
}>;

/** The server at which an interrupted stream continues, and the memory to continue from. */
export type RunContinuation = Readonly<{ server: BackendServer; memory: RunMemory }>;

/**
 * Whether a run was stopped at its server because this box asked for it, by its own connection or by way of another box.
 * `none`: no stop was asked for, or the server had no such run any more; `unknown`: the answer to it was lost.
 */
export type RunStop = "none" | "stopped" | "unknown";

/** Moves and recovers runs; receives what happens to them. */
export type RunKeeper = Readonly<{
  onBegun: (run: ActiveRun) => void;
  /** Waits for the answer to a stop that is in progress. */
  findStop: (run: ActiveRun) => Promise<RunStop>;
  /** The stream was interrupted; resolves with where it continues, undefined if nowhere. */
  recover: (run: ActiveRun, detail: string) => Promise<RunContinuation | undefined>;
  /** The server accepted the continuation, or it failed. */
  onContinued: (run: ActiveRun, outcome: ContinuationOutcome) => void;
  onFinished: (run: ActiveRun) => void;
}>;

/** Result of an attempt to continue a run at another server. */
export type ContinuationOutcome = Readonly<
  | { kind: "goes_on" }
  | { kind: "refused"; status: number }
  | { kind: "broken"; detail: string }
>;

/** The active runs of one box. */
export type ActiveRuns = Readonly<{
  add: (run: ActiveRun) => void;
  remove: (run: ActiveRun) => void;
  list: () => readonly ActiveRun[];
  listAt: (server: ServerId) => readonly ActiveRun[];
  count: () => number;
}>;

/** What `createActiveRun` needs. */
export type ActiveRunOptions = Readonly<{
  id: ClientRequestId;
  route: Route;
  demand: Demand;
  relay: Pick<StreamRelay, "hasBegun" | "getEvents">;
  /** The current server; undefined while the stream is between two servers. */
  findServer: () => BackendServer | undefined;
  getBinding: ActiveRun["getBinding"];
  /** The server that started the run. */
  first: BackendServer;
}>;

/** Creates the record of a stream. */
export const createActiveRun = (options: ActiveRunOptions): ActiveRun => {
  const { id, route, demand, relay, findServer, getBinding, first } = options;
  let server = first;
  const getMade = () => relay.getEvents() * TOKENS_PER_EVENT;
  return {
    id,
    route,
    regions: demand.regions,
    getBinding,
    getServer: () => {
      server = findServer() ?? server;
      return server;
    },
    hasBegun: relay.hasBegun,
    getEventsMade: relay.getEvents,
    getTokens: () => (demand.tokens?.prompt ?? 0) + getMade(),
    getTokensLeft: () => Math.max(0, (demand.tokens?.expectedOut ?? 0) - getMade()),
  };
};

/** Creates an empty collection. */
export const createActiveRuns = (): ActiveRuns => {
  const runs = new Set<ActiveRun>();
  return {
    add: (run) => void runs.add(run),
    remove: (run) => void runs.delete(run),
    list: () => [...runs],
    listAt: (server) => [...runs].filter((run) => run.getServer().entry.id === server),
    count: () => runs.size,
  };
};
