/** Creates a box's list of backend servers, and tells its parts what becomes of a server. */
import type { BoxName, Ms, ServiceName } from "@stairgauge/common";
import {
  createServerDirectory,
  type BackendServer,
  type DirectoryEvent,
  type LeavingReason,
  type ServerDirectory,
} from "@stairgauge/directory";
import type { ReportPoller } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import type { RunMover } from "@stairgauge/migration";
import { makeNotice, type PeerServer, type RunReporter } from "@stairgauge/peers";
import type { LoadRegistry } from "@stairgauge/placement";
import type { ServerBackoffs } from "@stairgauge/backoffs";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { ColdServers } from "./createColdServers.js";
import type { Peers } from "./createPeers.js";
import { observeServers } from "./observers.js";
import { toToldLeaving } from "./takeUpdates.js";

/** Who hears of a server. */
export type DirectoryParts = Readonly<{
  log: DecisionLog;
  metrics: BoxMetrics;
  book: LoadRegistry;
  cold: ColdServers;
  limits: Pick<ServerLimits, "forget">;
  rests: Pick<ServerBackoffs, "forget">;
  peers: Pick<Peers, "passOn"> &
    Readonly<{
      teller: Pick<RunReporter, "reportLeaving" | "reportAnnouncedLeaving">;
      peerServer: Pick<PeerServer, "notify">;
    }>;
  isPlacedByHubs: (service: ServiceName) => boolean;
  getReports: () => Pick<ReportPoller, "add">;
  getMover: () => Pick<RunMover, "onServerLeaving" | "onServerForgotten">;
}>;

/** How long a server that left is remembered, for runs that are still being moved from it. */
const LEFT_MEMORY_MS = 30_000 as Ms;

/** Creates the list; no server is known. */
export const createDirectory = (parts: DirectoryParts): ServerDirectory => {
  const { log, metrics, book, cold, limits, rests, isPlacedByHubs } = parts;
  const { teller, peerServer, passOn } = parts.peers;

  /** Whoever chooses servers itself has to hear a server's own word, and the others that have runs there. */
  const tellLeaving = (server: BackendServer, reason: LeavingReason) => {
    const told = toToldLeaving(server, reason);
    if (told.basis === "own_word" && !isPlacedByHubs(server.entry.service)) {
      teller.reportAnnouncedLeaving(told);
      passOn({ leaving: [told] });
      return;
    }
    teller.reportLeaving(told);
    const boxes = book.listPeersAt(server.entry.id) as BoxName[];
    peerServer.notify(boxes, makeNotice({ leaving: [told] }));
  };
  /** What the store says reaches each box by its table. */
  const isToldByStore = (reason: LeavingReason) =>
    reason === "entry_says_leaving" || reason === "entry_gone";
  const takeLeaving = (server: BackendServer) => {
    parts.getMover().onServerLeaving(server);
    const reason = server.leaving?.reason;
    if (reason && !isToldByStore(reason)) tellLeaving(server, reason);
  };
  const dropForgotten = (server: BackendServer) => {
    const { id } = server.entry;
    book.drop(id);
    cold.spells.forget(id);
    cold.limits.forget(id);
    limits.forget(id);
    rests.forget(id);
    parts.getMover().onServerForgotten(server);
  };
  const onEvent = (event: DirectoryEvent) => {
    observeServers({ log, metrics }, directory, event);
    const { kind, server } = event;
    switch (kind) {
      case "joined":
        cold.spells.onJoined(server.entry);
        parts.getReports().add(server);
        cold.spells.onEntry(server.entry);
        return;
      case "changed":
        cold.spells.onEntry(server.entry);
        return;
      case "leaving":
        takeLeaving(server);
        return;
      case "unusable":
        return;
      case "forgotten":
        dropForgotten(server);
    }
  };
  const directory = createServerDirectory({ memory: LEFT_MEMORY_MS, onEvent });
  return directory;
};
