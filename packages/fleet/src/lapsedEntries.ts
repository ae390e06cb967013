/**
 * Entries of servers that are missing just after the store was away. Servers could not renew them
 * meanwhile, so a missing entry proves nothing yet: whoever lives puts it back soon after the store's
 * return, and whoever has not done so by then is taken as gone.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** What keeping lapsed entries needs. */
export type LapsedEntriesOptions = Readonly<{
  clock: Clock;
  /** How long after the store's return a living server may take to put its entry back. */
  returnWithin: Ms;
  /** How long a missing entry may be waited for, from when it was seen to be missing. */
  bearFor: Ms;
  /** The entry did not come back. */
  onGone: (id: ServerId) => void;
}>;

/** The entries that are missing and may come back. */
export type LapsedEntries = Readonly<{
  /** The store answers again. */
  onStoreBack: () => void;
  /** Takes a missing entry; false when its absence counts at once. */
  take: (id: ServerId) => boolean;
  /** The entry is there (again). */
  drop: (id: ServerId) => void;
}>;

/** Creates an empty collection. */
export const createLapsedEntries = (options: LapsedEntriesOptions): LapsedEntries => {
  const { clock, returnWithin, bearFor, onGone } = options;
  const lapsed = new Map<ServerId, Timer>();
  let settledAt = -Infinity;

  const drop = (id: ServerId) => {
    lapsed.get(id)?.cancel();
    lapsed.delete(id);
  };
  const lose = (id: ServerId) => {
    lapsed.delete(id);
    onGone(id);
  };

  return {
    onStoreBack: () => {
      settledAt = clock.monotonic() + returnWithin;
    },
    take: (id) => {
      if (lapsed.has(id)) return true;
      const left = settledAt - clock.monotonic();
      if (left <= 0) return false;
      const patience = Math.min(left, bearFor) as Ms;
      const timer = clock.setTimer(patience, () => lose(id));
      lapsed.set(id, timer);
      return true;
    },
    drop,
  };
};
