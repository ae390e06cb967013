/** Takes what another box tells into what this one knows. */
import type { LoadBook } from "@stairgauge/placement";
import type { RunUpdate, ToldLeaving, ToldReport } from "./types.js";

/** Where an update goes. */
export type UpdateSinks = Readonly<{
  book: LoadBook;
  onLeaving: (told: ToldLeaving) => void;
  onReport: (told: ToldReport) => void;
}>;

/** Applies an update; a whole one replaces all runs that the box told before. */
export const applyUpdate = (sinks: UpdateSinks, update: RunUpdate): void => {
  const { book, onLeaving, onReport } = sinks;
  const { box, isWhole, put, drop, leaving, reports } = update;
  if (isWhole) book.dropPeer(box);
  for (const placed of put) book.putPeerRun(box, placed);
  for (const { server, id } of drop) book.removePeerRun(box, server, id);
  for (const told of leaving) onLeaving(told);
  for (const told of reports) onReport(told);
};
