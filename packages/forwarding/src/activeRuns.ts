/** Streams that this box relays, by request and by the server that makes them. */
import type { RegionName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import { TOKENS_PER_EVENT } from "./computeDemand.js";
import type { StreamRelay } from "./streamRelay.js";
import type { ClientRequestId, RunMemory } from "./types.js";

/** One stream under way. */
export type ActiveRun = Readonly<{
  id: ClientRequestId;
  route: Route;
  /** Regions whose servers alone may go on with it; all where absent. */
  regions?: readonly RegionName[] | undefined;
  getServer: () => BackendServer;
  /** Whether its first event has come. */
  hasBegun: () => boolean;
  getEventsMade: () => number;
  /** Tokens that it holds at its engine, as far as this box can tell. */
  getTokens: () => number;
  /** Tokens that are expected to come yet, by the client's guess. */
  getTokensLeft: () => number;
}>;

/** Where a stream goes on whose server ended it. */
export type RunContinuation = Readonly<{ server: BackendServer; memory: RunMemory }>;

/** What another part of the system does for runs. */
export type RunKeeper = Readonly<{
  onBegun: (run: ActiveRun) => void;
  /** The server ended the stream before its end; resolves with where it goes on, if anywhere. */
  recover: (run: ActiveRun, detail: string) => Promise<RunContinuation | undefined>;
  /** The continuation was let in (or not, and why). */
  onContinued: (run: ActiveRun, outcome: ContinuationOutcome) => void;
  onFinished: (run: ActiveRun) => void;
}>;

/** How an attempt to go on elsewhere ended. */
export type ContinuationOutcome = Readonly<
  | { kind: "goes_on" }
  | { kind: "refused"; status: number }
  | { kind: "broken"; detail: string }
>;

/** The runs of one box. */
export type ActiveRuns = Readonly<{
  add: (run: ActiveRun) => void;
  remove: (run: ActiveRun) => void;
  list: () => readonly ActiveRun[];
  listAt: (server: ServerId) => readonly ActiveRun[];
  count: () => number;
}>;

/** What a stream under way is made of. */
export type ActiveRunParts = Readonly<{
  id: ClientRequestId;
  route: Route;
  demand: Demand;
  relay: Pick<StreamRelay, "hasBegun" | "getEvents">;
  /** The server that makes it now; none while it is between two. */
  findServer: () => BackendServer | undefined;
  first: BackendServer;
}>;

/** Creates the view of a stream that those who move it have. */
export const createActiveRun = (parts: ActiveRunParts): ActiveRun => {
  const { id, route, demand, relay, findServer, first } = parts;
  let server = first;
  const getMade = () => relay.getEvents() * TOKENS_PER_EVENT;
  return {
    id,
    route,
    regions: demand.regions,
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
