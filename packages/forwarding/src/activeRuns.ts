/** Streams that this box relays, by request and by the server that makes them. */
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Route } from "@stairgauge/routing";
import type { ClientRequestId, RunMemory } from "./types.js";

/** One stream under way. */
export type ActiveRun = Readonly<{
  id: ClientRequestId;
  route: Route;
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
