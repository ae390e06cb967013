/**
 * Creates the list of backend servers of a box and forwards its events to the parts that depend
 * on them.
 */
import type { BoxName, Ms, ServiceName } from "@stairgauge/common";
import {
  createServerDirectory,
  type BackendServer,
  type DirectoryEvent,
  type LeavingReason,
  type ServerDirectory,
} from "@stairgauge/directory";
import type { FleetPlacer, ReportPoller } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import type { RunMover } from "@stairgauge/migration";
import { makeNotice, type PeerServer, type RunReporter } from "@stairgauge/peers";
import type { LoadRegistry } from "@stairgauge/placement";
import type { ServerBackoffs } from "@stairgauge/backoffs";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { Capacity } from "./createCapacity.js";
import type { ColdServers } from "./createColdServers.js";
import type { Origins } from "./createOrigins.js";
import type { Pace } from "./createPace.js";
import type { Paths } from "./createPaths.js";
import type { Peers } from "./createPeers.js";
import { observeServers } from "./observers.js";
import { toSharedLeaving } from "./receiveUpdates.js";

/** The parts that handle the list's events. */
export type DirectoryParts = Readonly<{
  log: DecisionLog;
  metrics: BoxMetrics;
  registry: LoadRegistry;
  cold: ColdServers;
  limits: Pick<ServerLimits, "forget">;
  backoffs: Pick<ServerBackoffs, "forget">;
  peers: Pick<Peers, "forward"> &
    Readonly<{
      reporter: Pick<RunReporter, "reportLeaving" | "reportAnnouncedLeaving">;
      peerServer: Pick<PeerServer, "notify">;
    }>;
  isPlacedByHubs: (service: ServiceName) => boolean;
  /** Parts that need the list themselves, and so are created later. */
  getParts: () => Readonly<{
    reports: Pick<ReportPoller, "add">;
    mover: Pick<RunMover, "onServerLeaving" | "onServerForgotten">;
    capacity: Pick<Capacity, "forget">;
    placer: Pick<FleetPlacer, "forget">;
    paths: Readonly<{ paths: Pick<Paths["paths"], "forget"> }>;
    pace: Pick<Pace, "drop">;
    origins: Readonly<{ rows: Pick<Origins["rows"], "checkSoon"> }>;
  }>;
}>;

/**
 * How long a server that left stays in the list, for runs that are still being moved from it.
 */
const LEFT_SERVER_MEMORY_MS = 30_000 as Ms;

/** Creates the list, with no servers. */
export const createDirectory = (parts: DirectoryParts): ServerDirectory => {
  const { log, metrics, registry, cold, limits, backoffs, isPlacedByHubs } = parts;
  const { reporter, peerServer, forward } = parts.peers;

  /**
   * Shares that a server leaves, with boxes that place requests there or have runs there. A box
   * that places requests itself needs the server's own announcement.
   */
  const sendLeaving = (server: BackendServer, reason: LeavingReason) => {
    const shared = toSharedLeaving(server, reason);
    if (shared.evidence === "own_word" && !isPlacedByHubs(server.entry.service)) {
      reporter.reportAnnouncedLeaving(shared);
      forward({ leaving: [shared] });
      return;
    }
    reporter.reportLeaving(shared);
    const boxes = registry.listPeersAt(server.entry.id) as BoxName[];
    peerServer.notify(boxes, makeNotice({ leaving: [shared] }));
  };
  /**
   * Whether each box reads this reason from the store's table itself, so that it needs no
   * sharing.
   */
  const isReadFromStore = (reason: LeavingReason) =>
    reason === "entry_says_leaving" || reason === "entry_gone";
  const handleLeaving = (server: BackendServer) => {
    parts.getParts().mover.onServerLeaving(server);
    const reason = server.leaving?.reason;
    if (reason && !isReadFromStore(reason)) sendLeaving(server, reason);
  };
  const handleForgotten = (server: BackendServer) => {
    const { id } = server.entry;
    registry.drop(id);
    cold.periods.forget(id);
    cold.limits.forget(id);
    limits.forget(id);
    backoffs.forget(id);
    parts.getParts().capacity.forget(id);
    parts.getParts().pace.drop(id);
    parts.getParts().placer.forget(id);
    parts.getParts().paths.paths.forget(id);
    parts.getParts().mover.onServerForgotten(server);
  };
  const onEvent = (event: DirectoryEvent) => {
    observeServers({ log, metrics }, directory, event);
    parts.getParts().origins.rows.checkSoon();
    const { kind, server } = event;
    switch (kind) {
      case "joined":
        cold.periods.onJoined(server.entry);
        parts.getParts().reports.add(server);
        cold.periods.onEntry(server.entry);
        return;
      case "changed":
        cold.periods.onEntry(server.entry);
        return;
      case "leaving":
        handleLeaving(server);
        return;
      case "unusable":
        return;
      case "forgotten":
        handleForgotten(server);
    }
  };
  const directory = createServerDirectory({ memory: LEFT_SERVER_MEMORY_MS, onEvent });
  return directory;
};
