/** Creates what a box knows of the origins of streams that clients take up, and of the versions that may have begun them. */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import {
  createOriginFinder,
  createOriginRegistry,
  createStreamOrigins,
  createVersionHistory,
  createVersionRows,
  TAKE_UP_MARGIN_MS,
  type StreamOrigins,
  type VersionRows,
} from "@stairgauge/origins";
import {
  createStoreReader,
  createStoreWriter,
  VERSIONS_TABLE,
  type CallBounds,
} from "@stairgauge/platform";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { Knowledge } from "./createKnowledge.js";
import type { Peers } from "./createPeers.js";
import { createRowFaultReporter } from "./reportRowFaults.js";

export type OriginsOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  knowledge: Pick<Knowledge, "isOutOfTouch" | "getLongestStream">;
  peers: Pick<Peers, "links" | "reporter">;
  callBounds: CallBounds;
  /** Parts that are created later. */
  getParts: () => Readonly<{ directory: Pick<ServerDirectory, "list"> }>;
}>;

export type Origins = Readonly<{ streams: StreamOrigins; rows: VersionRows }>;

/** Longest time of one answer until the configuration is read. */
const ASSUMED_ANSWER_MS = 60_000;

/** Creates the parts; no origin is on record. */
export const createOrigins = (options: OriginsOptions): Origins => {
  const { settings, clock, log, metrics, knowledge, getParts } = options;
  const { callBounds: bounds } = options;
  const { links, reporter } = options.peers;
  const registry = createOriginRegistry();
  const history = createVersionHistory(
    () => ((knowledge.getLongestStream() ?? ASSUMED_ANSWER_MS) + TAKE_UP_MARGIN_MS) as Ms,
  );
  const observeServers = () =>
    history.observe(
      getParts()
        .directory.list()
        .map(({ entry }) => entry),
      clock.monotonic(),
    );
  const rows = createVersionRows({
    clock,
    reader: createStoreReader({
      address: settings.store.address,
      // The followers of the tables report faults of the era.
      onEraFault: () => undefined,
      onRowFault: createRowFaultReporter({ clock, log, metrics }),
      bounds,
    }),
    writer: createStoreWriter(settings.store.address, bounds),
    table: VERSIONS_TABLE,
    limit: settings.store.patienceMs as Ms,
    history,
    observeServers,
    getRank: () => links.findPlace()?.rank,
    onFailure: (failure) => log.writeWarning("software_versions", { failure }),
  });
  const streams = createStreamOrigins({
    clock,
    registry,
    finder: createOriginFinder({
      clock,
      registry,
      listConnected: () => links.listConnected().map(({ box }) => box),
      ask: links.askOrigin,
    }),
    listVersions: (service) => {
      observeServers();
      return rows.isLoaded() ? history.list(service, clock.monotonic()) : undefined;
    },
    awaitVersions: rows.awaitFirstRead,
    isOutOfTouch: knowledge.isOutOfTouch,
    countBoxes: links.countBoxes,
    countConnected: () => links.listConnected().length,
    sendOrigin: reporter.recordOrigin,
  });
  return { streams, rows };
};
