/** The newest revision that a box has seen, over all tables of the store: one counter numbers them. */
import {
  INITIAL_REVISION,
  compareRevisions,
  pickLaterRevision,
  type StoreRevision,
} from "./revision.js";
import type { AnswerSource } from "./types.js";

/** The answer that showed a revision. */
export type ObservedRevision = Readonly<{
  table: string;
  by: AnswerSource["kind"];
  revision: StoreRevision;
}>;

/** An answer of another era than the newest one seen. */
export type EraChange = ObservedRevision & Readonly<{ before: StoreRevision }>;

/** The mark that all followers of one store share. */
export type RevisionWatermark = Readonly<{
  get: () => StoreRevision;
  raise: (sighting: ObservedRevision) => void;
  /** Takes what the store says although it is earlier: the store insists on it. */
  replace: (sighting: ObservedRevision) => void;
  /** Calls back whenever another era counts than before. */
  watchEra: (onChange: (change: EraChange) => void) => void;
}>;

/** Creates a mark that has seen nothing. */
export const createRevisionWatermark = (): RevisionWatermark => {
  const watchers: ((change: EraChange) => void)[] = [];
  let newest = INITIAL_REVISION;

  const set = (revision: StoreRevision, sighting: ObservedRevision) => {
    const before = newest;
    newest = revision;
    const isFirst = compareRevisions(before, INITIAL_REVISION) === 0;
    if (isFirst || before.era === newest.era) return;
    for (const onChange of watchers) onChange({ ...sighting, before });
  };

  return {
    get: () => newest,
    raise: (sighting) => set(pickLaterRevision(newest, sighting.revision), sighting),
    replace: (sighting) => set(sighting.revision, sighting),
    watchEra: (onChange) => {
      watchers.push(onChange);
    },
  };
};
