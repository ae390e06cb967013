/** Revisions of the store. Versions rise within an era; a new era begins when the store is restored from a backup. */

/** A point in the history of the store. */
export type StoreRevision = Readonly<{
  /** Rises by one each time the versions go back. */
  era: number;
  /** Rises with each write within the era. */
  version: number;
}>;

/** Era of an answer in which the store or another box names none. */
export const UNKNOWN_ERA = 0;

/** Earlier than every revision of the store. */
export const INITIAL_REVISION: StoreRevision = { era: UNKNOWN_ERA, version: 0 };

export const makeRevision = (era: number, version: number): StoreRevision => ({
  era,
  version,
});

/** Negative when `a` is earlier than `b`, 0 when they are equal. */
export const compareRevisions = (a: StoreRevision, b: StoreRevision): number =>
  a.era - b.era || a.version - b.version;

/** Whether `a` is earlier than `b`. */
export const isEarlierRevision = (a: StoreRevision, b: StoreRevision): boolean =>
  compareRevisions(a, b) < 0;

/** Returns the later of two revisions. */
export const pickLaterRevision = (a: StoreRevision, b: StoreRevision): StoreRevision =>
  isEarlierRevision(a, b) ? b : a;
