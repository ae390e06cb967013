/** Takes what other boxes tell of their runs, of engines' reports, and of servers that leave. */
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
import { applyUpdate, type RunUpdate, type SharedLeaving } from "@stairgauge/peers";
import type {
  EngineReport,
  LoadRegistry,
  PlacedAt,
  CompetingRate,
} from "@stairgauge/placement";

/** Where it goes. */
export type UpdateTakerOptions = Readonly<{
  clock: Clock;
  book: LoadRegistry;
  rivals: CompetingRate;
  getDirectory: () => ServerDirectory;
  getPlacer: () => Pick<FleetPlacer, "takeBroken" | "takeAnswered">;
  getGuard: () => Pick<RequestGuard, "applyUpdate">;
  getLimits: () => Pick<ServerLimits, "applyUpdate">;
  /** The store does not reach this box. */
  isOutOfTouch: () => boolean;
}>;

/** Takes updates. */
export type UpdateTaker = Readonly<{
  takeUpdate: (update: RunUpdate) => void;
  takeLeaving: (told: SharedLeaving) => void;
  /** A report, from the engine itself or by another box. */
  markReported: (server: ServerId, report: EngineReport) => void;
}>;

/** Puts a server that leaves, for the reason given, into the words of an update. */
export const toToldLeaving = (
  { entry }: BackendServer,
  reason: LeavingReason,
): SharedLeaving => ({ server: entry.id, basis: getLeavingEvidence(reason) });

/** Lists all servers that leave. */
export const listToldLeaving = (
  directory: Pick<ServerDirectory, "list">,
): readonly SharedLeaving[] =>
  directory
    .list()
    .flatMap((server) =>
      server.leaving ? [toToldLeaving(server, server.leaving.reason)] : [],
    );

/** Creates the taker. */
export const createUpdateTaker = (options: UpdateTakerOptions): UpdateTaker => {
  const { clock, book, rivals, getDirectory, isOutOfTouch } = options;

  const markReported = (server: ServerId, report: EngineReport) => {
    if (report.isLeaving) getDirectory().mark(server, "report", clock.monotonic());
  };
  const takeLeaving = ({ server, basis }: SharedLeaving) => {
    // A box that the store reaches sees itself whether an entry is gone.
    if (basis === "entry_gone" && !isOutOfTouch()) return;
    const reason = basis === "own_word" ? "told_own_word" : "told_by_box";
    getDirectory().mark(server, reason, clock.monotonic());
  };
  /** Another box has placed a run, and not where this one said: that was seen. */
  const isNews = ({ server, run }: PlacedAt) =>
    !run.hasBegun && !book.listPeerRuns(server).some(({ id }) => id === run.id);

  return {
    markReported,
    takeLeaving,
    takeUpdate: (update) => {
      const started = update.isWhole ? [] : update.put.filter(isNews);
      rivals.record(started.length, clock.monotonic());
      const onReport = ({ server, report }: RunUpdate["reports"][number]) => {
        if (!getDirectory().find(server)) return;
        book.putReport(server, report, clock.monotonic());
        markReported(server, report);
      };
      const { takeBroken: onBroken, takeAnswered: onAnswered } = options.getPlacer();
      const sinks = {
        book,
        onLeaving: takeLeaving,
        onReport,
        onBroken,
        onAnswered,
        onCrashes: options.getGuard().applyUpdate,
        onLimits: options.getLimits().applyUpdate,
      };
      applyUpdate(sinks, update);
    },
  };
};
