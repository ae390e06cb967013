/** Takes what another box tells of its runs into the load book. */
import type { LoadBook } from "@stairgauge/placement";
import type { RunUpdate } from "./types.js";

/** Applies an update; a whole one replaces all that the box told before. */
export const applyUpdate = (book: LoadBook, update: RunUpdate): void => {
  const { box, isWhole, put, drop } = update;
  if (isWhole) book.dropPeer(box);
  for (const placed of put) book.putPeerRun(box, placed);
  for (const { server, id } of drop) book.removePeerRun(box, server, id);
};
