/** The newest revision that a box has seen, over all tables of the store: one counter numbers them. */
import {
  BEFORE_ALL,
  compareRevisions,
  pickLaterRevision,
  type StoreRevision,
} from "./revision.js";
import type { AnswerSource } from "./types.js";

/** The answer that showed a revision. */
export type RevisionSighting = Readonly<{
  table: string;
  by: AnswerSource["kind"];
  revision: StoreRevision;
}>;

/** An answer of another era than the newest one seen. */
export type EraChange = RevisionSighting & Readonly<{ before: StoreRevision }>;

/** The mark that all followers of one store share. */
export type RevisionMark = Readonly<{
  get: () => StoreRevision;
  raise: (sighting: RevisionSighting) => void;
  /** Takes what the store says although it is earlier: the store insists on it. */
  replace: (sighting: RevisionSighting) => void;
  /** Calls back whenever another era counts than before. */
  watchEra: (onChange: (change: EraChange) => void) => void;
}>;

/** Creates a mark that has seen nothing. */
export const createRevisionMark = (): RevisionMark => {
  const watchers: ((change: EraChange) => void)[] = [];
  let newest = BEFORE_ALL;

  const set = (revision: StoreRevision, sighting: RevisionSighting) => {
    const before = newest;
    newest = revision;
    const isFirst = compareRevisions(before, BEFORE_ALL) === 0;
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
