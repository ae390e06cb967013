/** The newest revision that a box has seen in any table of the store. One counter numbers the writes of all tables. */
import {
  INITIAL_REVISION,
  compareRevisions,
  pickLaterRevision,
  type StoreRevision,
} from "./revision.js";
import type { AnswerSource } from "./types.js";

/** A revision, with the table and the kind of source of the answer that carried it. */
export type ObservedRevision = Readonly<{
  table: string;
  by: AnswerSource["kind"];
  revision: StoreRevision;
}>;

/** An answer that changed the era of the watermark; `before` is the watermark's earlier value. */
export type EraChange = ObservedRevision & Readonly<{ before: StoreRevision }>;

/** The watermark that all followers of one store share. */
export type RevisionWatermark = Readonly<{
  get: () => StoreRevision;
  raise: (observed: ObservedRevision) => void;
  /** Sets the watermark even to an earlier revision, for a store that keeps answering with it. */
  replace: (observed: ObservedRevision) => void;
  /** Calls back whenever the era of the watermark changes; the first revision seen is no change. */
  watchEra: (onChange: (change: EraChange) => void) => void;
}>;

/** Creates a watermark at the initial revision. */
export const createRevisionWatermark = (): RevisionWatermark => {
  const watchers: ((change: EraChange) => void)[] = [];
  let newest = INITIAL_REVISION;

  const set = (revision: StoreRevision, observed: ObservedRevision) => {
    const before = newest;
    newest = revision;
    const isFirst = compareRevisions(before, INITIAL_REVISION) === 0;
    if (isFirst || before.era === newest.era) return;
    for (const onChange of watchers) onChange({ ...observed, before });
  };

  return {
    get: () => newest,
    raise: (observed) => set(pickLaterRevision(newest, observed.revision), observed),
    replace: (observed) => set(observed.revision, observed),
    watchEra: (onChange) => {
      watchers.push(onChange);
    },
  };
};
