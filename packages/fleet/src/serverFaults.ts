/** Records failures of servers that requests met, and leaves out the servers that are suspect because of them. */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { LoadRegistry } from "@stairgauge/placement";
import type { ColdPeriods } from "./coldPeriods.js";
import { createSuspects } from "./suspects.js";

/** A server that this box could not reach, with what distinguishes a fault of the server from one of the path to it. */
export type UnreachableReport = Readonly<{
  server: ServerId;
  /** Time since this box last got an answer of the server; undefined if it never did. */
  answeredAgo: Ms | undefined;
  /** Requests of other boxes on record at the server. */
  runsOfOthers: number;
}>;

/** Options of the record. */
export type ServerFaultsOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  registry: Pick<LoadRegistry, "listPeerRuns">;
  coldPeriods: Pick<ColdPeriods, "onUnreachable">;
  /** A server broke off a request of this box before it answered, and has been checked since. */
  onBroken: (server: ServerId) => void;
  /** No connection to a server was established. */
  onUnreachable?: ((report: UnreachableReport) => void) | undefined;
}>;

/** The failures of one box's servers. */
export type ServerFaults = Readonly<{
  recordUnreachable: (server: BackendServer) => void;
  /** The server broke off a request of this box before it answered; `checked` resolves after its check. */
  recordBroken: (server: BackendServer, checked: Promise<unknown>) => void;
  recordAnswered: (server: BackendServer) => void;
  /** Handle another box's report that a server has broken off a request, or has answered one. */
  handleBroken: (server: ServerId) => void;
  handleAnswered: (server: ServerId) => void;
  /** Leaves out suspect servers, unless that would leave none. */
  filter: (servers: readonly BackendServer[]) => readonly BackendServer[];
  forget: (server: ServerId) => void;
}>;

/** Creates the record, without failures. */
export const createServerFaults = (options: ServerFaultsOptions): ServerFaults => {
  const { clock, registry, coldPeriods, onBroken, onUnreachable } = options;
  const suspects = createSuspects();
  const answeredAt = new Map<ServerId, Ms>();

  const describeUnreachable = (server: ServerId, now: Ms): UnreachableReport => {
    const last = answeredAt.get(server);
    return {
      server,
      answeredAgo: last === undefined ? undefined : ((now - last) as Ms),
      runsOfOthers: registry.listPeerRuns(server).length,
    };
  };

  return {
    recordUnreachable: ({ entry }) => {
      const now = clock.monotonic();
      suspects.add(entry.id, now);
      coldPeriods.onUnreachable(entry);
      onUnreachable?.(describeUnreachable(entry.id, now));
    },
    recordBroken: ({ entry }, checked) => {
      suspects.addBreak(entry.id, clock.monotonic());
      void checked.then(() => onBroken(entry.id));
    },
    recordAnswered: ({ entry }) => {
      suspects.removeBreaks(entry.id);
      answeredAt.set(entry.id, clock.monotonic());
    },
    handleBroken: (server) => suspects.addBreak(server, clock.monotonic()),
    handleAnswered: suspects.removeBreaks,
    filter: (servers) => suspects.filter(servers, clock.monotonic()),
    forget: (server) => void answeredAt.delete(server),
  };
};
