/** Takes what another box tells into what this one knows. */
import type { BoxName } from "@stairgauge/common";
import type { CrashUpdate } from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import type { LimitUpdate } from "@stairgauge/limits";
import type { LoadRegistry } from "@stairgauge/placement";
import type { RunUpdate, SharedLeaving, SharedReport } from "./types.js";

/** Where an update goes. */
export type UpdateSinks = Readonly<{
  book: LoadRegistry;
  onLeaving: (told: SharedLeaving) => void;
  onReport: (told: SharedReport) => void;
  onBroken: (server: ServerId) => void;
  /** A run of the box has begun at the server. */
  onAnswered: (server: ServerId) => void;
  onCrashes: (news: CrashUpdate) => void;
  onLimits: (news: LimitUpdate, by: BoxName) => void;
}>;

/** Applies an update; a whole one replaces all runs that the box told before. */
export const applyUpdate = (sinks: UpdateSinks, update: RunUpdate): void => {
  const { book, onLeaving, onReport, onBroken, onAnswered, onCrashes } = sinks;
  const { box, isWhole, put, drop, leaving, reports, broken } = update;
  if (isWhole) book.dropPeer(box);
  for (const placed of put) book.putPeerRun(box, placed);
  // What is told whole may have begun long ago.
  const begun = isWhole ? [] : put.filter(({ run }) => run.hasBegun);
  for (const { server } of begun) onAnswered(server);
  for (const server of broken) onBroken(server);
  for (const { server, id } of drop) book.removePeerRun(box, server, id);
  for (const told of leaving) onLeaving(told);
  for (const told of reports) onReport(told);
  onCrashes(update.crashes);
  sinks.onLimits(update.limits, box);
};
