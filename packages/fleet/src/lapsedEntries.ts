/**
 * Server entries that are missing just after an outage of the store. Servers could not renew them
 * during the outage, so a missing entry alone doesn't show that a server is gone. Running servers
 * write their entry again soon after the store's return; a server that hasn't done so by then
 * counts as gone.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** Dependencies of the lapsed entries. */
export type LapsedEntriesOptions = Readonly<{
  clock: Clock;
  /** How long after the store's return a running server may take to write its entry again. */
  returnWithin: Ms;
  /** Longest time to wait for a missing entry, from when it was found missing. */
  maxWait: Ms;
  /** Called when the entry was not written again in time. */
  onGone: (id: ServerId) => void;
}>;

/** The missing entries that may be written again. */
export type LapsedEntries = Readonly<{
  /** Handles the return of the store. */
  onStoreBack: () => void;
  /**
   * Adds a missing entry and starts to wait for it. Returns false if the server counts as gone at
   * once.
   */
  add: (id: ServerId) => boolean;
  /** Drops an entry that is present (again). */
  drop: (id: ServerId) => void;
}>;

export const createLapsedEntries = (options: LapsedEntriesOptions): LapsedEntries => {
  const { clock, returnWithin, maxWait, onGone } = options;
  const lapsed = new Map<ServerId, Timer>();
  let settledAt = -Infinity;

  const drop = (id: ServerId) => {
    lapsed.get(id)?.cancel();
    lapsed.delete(id);
  };
  const expire = (id: ServerId) => {
    lapsed.delete(id);
    onGone(id);
  };

  return {
    onStoreBack: () => {
      settledAt = clock.monotonic() + returnWithin;
    },
    add: (id) => {
      if (lapsed.has(id)) return true;
      const left = settledAt - clock.monotonic();
      if (left <= 0) return false;
      const waitTime = Math.min(left, maxWait) as Ms;
      const timer = clock.setTimer(waitTime, () => expire(id));
      lapsed.set(id, timer);
      return true;
    },
    drop,
  };
};
