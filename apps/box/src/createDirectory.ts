/** Creates a box's list of backend servers, and tells its parts what becomes of a server. */
import type { BoxName, Ms } from "@stairgauge/common";
import {
  createServerDirectory,
  type BackendServer,
  type DirectoryEvent,
  type ServerDirectory,
} from "@stairgauge/directory";
import type { ReportPoller } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import type { RunMover } from "@stairgauge/migration";
import { makeNotice, type PeerServer, type RunTeller } from "@stairgauge/peers";
import type { LoadBook } from "@stairgauge/placement";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { ColdServers } from "./createColdServers.js";
import { observeServers } from "./observers.js";
import { toToldLeaving } from "./takeUpdates.js";

/** Who hears of a server. */
export type DirectoryParts = Readonly<{
  log: DecisionLog;
  metrics: BoxMetrics;
  book: LoadBook;
  cold: ColdServers;
  limits: Pick<ServerLimits, "forget">;
  teller: Pick<RunTeller, "tellLeaving">;
  peerServer: Pick<PeerServer, "notify">;
  getReports: () => Pick<ReportPoller, "add">;
  getMover: () => Pick<RunMover, "onServerLeaving" | "onServerForgotten">;
}>;

/** How long a server that left is remembered, for runs that are still being moved from it. */
const LEFT_MEMORY_MS = 30_000 as Ms;

/** Creates the list; no server is known. */
export const createDirectory = (parts: DirectoryParts): ServerDirectory => {
  const { log, metrics, book, cold, limits, teller, peerServer } = parts;

  /** What the store says reaches each box by its table; what an engine or a box said, by the hubs. */
  const tellLeaving = (server: BackendServer) => {
    const reason = server.leaving?.reason;
    if (reason === "entry_says_leaving" || reason === "entry_gone") return;
    const told = toToldLeaving(server);
    teller.tellLeaving(told);
    const boxes = book.listPeersAt(server.entry.id) as BoxName[];
    peerServer.notify(boxes, makeNotice({ leaving: [told] }));
  };
  const dropForgotten = (server: BackendServer) => {
    const { id } = server.entry;
    book.drop(id);
    cold.spells.forget(id);
    cold.limits.forget(id);
    limits.forget(id);
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
        parts.getMover().onServerLeaving(server);
        tellLeaving(server);
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
