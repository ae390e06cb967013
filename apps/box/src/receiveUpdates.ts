/** Applies updates from other boxes: runs, engine reports, and servers that leave. */
import type { ContentionUpdate } from "@stairgauge/capacity";
import type { Clock } from "@stairgauge/common";
import type { RequestGuard } from "@stairgauge/crashes";
import {
  getLeavingEvidence,
  type BackendServer,
  type LeavingReason,
  type ServerDirectory,
  type ServerId,
} from "@stairgauge/directory";
import type { FleetPlacer } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import type { StreamOrigins } from "@stairgauge/origins";
import type { PaceRegistry } from "@stairgauge/pace";
import { applyUpdate, type RunUpdate, type SharedLeaving } from "@stairgauge/peers";
import {
  isPlainRun,
  type EngineReport,
  type LoadRegistry,
  type PlacedAt,
  type CompetingRate,
} from "@stairgauge/placement";
import type { Capacity } from "./createCapacity.js";

export type UpdateReceiverOptions = Readonly<{
  clock: Clock;
  registry: LoadRegistry;
  competing: CompetingRate;
  /** Parts that are created later. */
  getParts: () => Readonly<{
    directory: ServerDirectory;
    placer: Pick<FleetPlacer, "handleBroken" | "handleAnswered">;
    guard: Pick<RequestGuard, "applyUpdate">;
    limits: Pick<ServerLimits, "applyUpdate">;
    capacity: Pick<Capacity, "applyShared" | "onEnded">;
    pace: Readonly<{ registry: Pick<PaceRegistry, "applyShared"> }>;
    origins: Readonly<{ streams: Pick<StreamOrigins, "applyShared"> }>;
  }>;
  /** Whether this box has lost the store. */
  isOutOfTouch: () => boolean;
}>;

/** Applies updates to the parts of this box. */
export type UpdateReceiver = Readonly<{
  receiveUpdate: (update: RunUpdate) => void;
  receiveLeaving: (leaving: SharedLeaving) => void;
  /** Applies a report of an engine, received directly or from another box. */
  applyReport: (server: ServerId, report: EngineReport) => void;
}>;

/** Converts a leaving server and its reason to a part of an update. */
export const toSharedLeaving = (
  { entry }: BackendServer,
  reason: LeavingReason,
): SharedLeaving => ({ server: entry.id, evidence: getLeavingEvidence(reason) });

export const listSharedLeaving = (
  directory: Pick<ServerDirectory, "list">,
): readonly SharedLeaving[] =>
  directory
    .list()
    .flatMap((server) =>
      server.leaving ? [toSharedLeaving(server, server.leaving.reason)] : [],
    );

export const createUpdateReceiver = (options: UpdateReceiverOptions): UpdateReceiver => {
  const { clock, registry, competing, getParts, isOutOfTouch } = options;

  const applyReport = (server: ServerId, report: EngineReport) => {
    if (report.isLeaving) getParts().directory.mark(server, "report", clock.monotonic());
  };
  const receiveLeaving = ({ server, evidence }: SharedLeaving) => {
    // A box that reaches the store reads itself whether an entry is gone.
    if (evidence === "entry_gone" && !isOutOfTouch()) return;
    const reason = evidence === "own_word" ? "told_own_word" : "told_by_box";
    getParts().directory.mark(server, reason, clock.monotonic());
  };
  /**
   * Whether the update announces a run that another box has placed by its own choice: a run
   * that was placed on this box's advice is on record already.
   */
  const isOwnChoice = ({ server, run }: PlacedAt) =>
    !run.hasBegun &&
    !isPlainRun(run) &&
    !registry.listPeerRuns(server).some(({ id }) => id === run.id);

  return {
    applyReport,
    receiveLeaving,
    receiveUpdate: (update) => {
      const started = update.isWhole ? [] : update.put.filter(isOwnChoice);
      competing.record(started.length, clock.monotonic());
      const onReport = ({ server, report }: RunUpdate["reports"][number]) => {
        if (!getParts().directory.find(server)) return;
        registry.putReport(server, report, clock.monotonic());
        applyReport(server, report);
      };
      const { handleBroken: onBroken, handleAnswered: onAnswered } = getParts().placer;
      const sinks = {
        registry,
        onLeaving: receiveLeaving,
        onReport,
        onBroken,
        onAnswered,
        onCrashes: getParts().guard.applyUpdate,
        onLimits: getParts().limits.applyUpdate,
        onOrigins: getParts().origins.streams.applyShared,
        onPaces: getParts().pace.registry.applyShared,
        isListed: (server: ServerId) => getParts().directory.find(server) !== undefined,
        onEnded: (server: ServerId) => getParts().capacity.onEnded(server),
        onContended: (update: ContentionUpdate, box: string) =>
          getParts().capacity.applyShared(update, { box, message: "update" }),
      };
      applyUpdate(sinks, update);
    },
  };
};
