/** Bounds collections that keep the order of insertion. */

type Bounded<Key> = Readonly<{
  size: number;
  keys: () => Iterable<Key>;
  delete: (key: Key) => boolean;
}>;

/** Drops the entries that were inserted first, until at most `most` are left. */
export const dropOldest = <Key>(entries: Bounded<Key>, most: number): void => {
  for (const key of entries.keys()) {
    if (entries.size <= most) return;
    entries.delete(key);
  }
};
