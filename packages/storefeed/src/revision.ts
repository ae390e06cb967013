/** The order of what the store says. Versions rise within an era; a new era begins when the store comes back from a copy. */

/** A moment of the store's history. */
export type StoreRevision = Readonly<{
  /** Rises by one each time that versions go back. */
  era: number;
  /** Rises with each write of the era. */
  version: number;
}>;

/** Era of a store, or of another box, that tells none. */
export const UNKNOWN_ERA = 0;

/** Before everything that the store has said. */
export const INITIAL_REVISION: StoreRevision = { era: UNKNOWN_ERA, version: 0 };

/** Makes a revision. */
export const makeRevision = (era: number, version: number): StoreRevision => ({
  era,
  version,
});

/** Below 0 when `a` is the earlier one, 0 when they are the same. */
export const compareRevisions = (a: StoreRevision, b: StoreRevision): number =>
  a.era - b.era || a.version - b.version;

/** Whether `a` is the earlier one. */
export const isEarlierRevision = (a: StoreRevision, b: StoreRevision): boolean =>
  compareRevisions(a, b) < 0;

/** Picks the later one. */
export const pickLaterRevision = (a: StoreRevision, b: StoreRevision): StoreRevision =>
  isEarlierRevision(a, b) ? b : a;
