/**
 * Limits the time that goes into messages that arrive in small pieces: each costs a microsecond or more, and one read may
 * bring thousands. A connection with more than a few is not read for a while, and goes on in turn with others like it.
 */
import type { Clock, Ms } from "@stairgauge/common";

/** Small pieces of one connection that are always handled, and how many more are in a second; sound boxes send fewer. */
const MAX_PROMPT = 1_000;
const PROMPT_PER_MS = 1;

/** Small pieces of all other connections, at a cost of a tenth of the time. */
const MAX_SHARED = 1_000;
const SHARED_PER_MS = 50;

/** How often is checked whether one may be read again. */
const CHECK_MS = 10 as Ms;

/** Stops and starts the reading of a connection. */
export type Reading = Readonly<{ stop: () => void; start: () => void }>;

/** The small pieces of one connection. */
export type ConnectionPieces = Readonly<{
  /** One has arrived. */
  spend: () => void;
  /** The connection has ended. */
  close: () => void;
}>;

/** The small pieces of all connections. */
export type PieceTurns = Readonly<{ open: (reading: Reading) => ConnectionPieces }>;

/** Counts what is left of an allowance that grows with time. */
const createAllowance = (
  clock: Pick<Clock, "monotonic">,
  { max, perMs }: Readonly<{ max: number; perMs: number }>,
) => {
  let left = max;
  let countedAt = clock.monotonic();
  return {
    spend: () => {
      left -= 1;
    },
    hasLeft: () => {
      if (left > 0) return true;
      const now = clock.monotonic();
      left = Math.min(max, left + (now - countedAt) * perMs);
      countedAt = now;
      return left > 0;
    },
  };
};

/** Creates the turns; no connection is open. */
export const createPieceTurns = (
  clock: Pick<Clock, "monotonic" | "setTimer">,
): PieceTurns => {
  const shared = createAllowance(clock, { max: MAX_SHARED, perMs: SHARED_PER_MS });
  /** Connections that are not read, in the order of their turns. */
  const stopped = new Set<Reading>();
  let isScheduled = false;

  const startNext = () => {
    const [next] = stopped;
    if (!next || !shared.hasLeft()) return;
    stopped.delete(next);
    next.start();
  };
  const scheduleCheck = () => {
    if (isScheduled || stopped.size === 0) return;
    isScheduled = true;
    clock.setTimer(CHECK_MS, () => {
      isScheduled = false;
      startNext();
      scheduleCheck();
    });
  };

  return {
    open: (reading) => {
      const prompt = createAllowance(clock, { max: MAX_PROMPT, perMs: PROMPT_PER_MS });
      let isOpen = true;
      return {
        spend: () => {
          if (prompt.hasLeft()) {
            prompt.spend();
            return;
          }
          shared.spend();
          if (!isOpen || stopped.has(reading) || shared.hasLeft()) return;
          stopped.add(reading);
          reading.stop();
          scheduleCheck();
        },
        close: () => {
          isOpen = false;
          stopped.delete(reading);
        },
      };
    },
  };
};
