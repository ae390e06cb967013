/**
 * Connections that were accepted and not read yet. The event loop accepts one connection a turn; while its turns are
 * long, connections wait in the kernel, where their clients get neither an answer nor another box. So accepting goes
 * first: a connection is read in a turn that accepted none. It is closed unread once it can't be read in time.
 */
import type { Clock, Ms } from "@stairgauge/common";
import { decideReach, type Backlog, type UnreadReason } from "./backlog.js";
import {
  MAX_ACCEPTING_TURNS,
  MAX_COUNTED_TURN_MS,
  MEASURED_SHARE,
  MIN_READINGS,
  MIN_UNREAD_MS,
} from "./constants.js";

/** Options of the arrivals. */
export type ArrivalsOptions<Connection> = Readonly<{
  clock: Pick<Clock, "monotonic">;
  /** Runs the function once in this turn of the event loop, after it has accepted and read what was there. */
  scheduleTurnEnd: (run: () => void) => void;
  /** Whether the event loop has no idle time, so that connections wait for this box and not for the machine. */
  isBusy: () => boolean;
  /** Time for which a connection may stay unread; undefined if it is not known. */
  getUnreadLimit: () => Ms | undefined;
  /** Begins to read from a connection. */
  startReading: (connection: Connection) => void;
  /** Closes a connection that can't be read in time and has waited for `waited`. */
  closeUnread: (connection: Connection, reason: UnreadReason, waited: Ms) => void;
}>;

/** The connections of one listener that were not read yet. */
export type Arrivals<Connection> = Readonly<{
  /** Handles a connection that was accepted. */
  add: (connection: Connection) => void;
  /** Handles a connection that was accepted and closed at once. */
  recordClosed: () => void;
  /** Reads how many connections wait, and for how long. */
  readBacklog: () => Backlog;
}>;

type Arrival<Connection> = Readonly<{ connection: Connection; arrivedAt: number }>;

/** Measures how long it takes to read from a connection, over the more readings the more connections wait for theirs. */
const createReadingMeter = () => {
  let mean = 0;
  let readings = 0;
  return {
    record: (time: number, waiting: number) => {
      const measured = Math.max(MIN_READINGS, waiting * MEASURED_SHARE);
      readings = Math.min(readings + 1, measured);
      mean += (time - mean) / readings;
    },
    getTime: () => (readings < MIN_READINGS ? undefined : mean),
  };
};

/** Creates arrivals without a connection. */
export const createArrivals = <Connection>(
  options: ArrivalsOptions<Connection>,
): Arrivals<Connection> => {
  const { clock, scheduleTurnEnd, isBusy, getUnreadLimit, startReading, closeUnread } =
    options;
  let waiting: Arrival<Connection>[] = [];
  let hasAccepted = false;
  /** Turns in a row that accepted connections and read from none. */
  let acceptingTurns = 0;
  /** Whether the last turn began to read from a connection; the next one handles its request. */
  let hasRead = false;
  let turnEndedAt = clock.monotonic();
  /** Time for which connections have waited; a turn of any length counts as `MAX_COUNTED_TURN_MS` at most. */
  let waited = 0;
  /** When a connection began to wait while no other did. */
  let waitingSince = 0;
  const readingMeter = createReadingMeter();

  const countTurn = () => {
    const now = clock.monotonic();
    const time = Math.min(now - turnEndedAt, MAX_COUNTED_TURN_MS);
    waited += time;
    turnEndedAt = now;
    if (hasRead) readingMeter.record(time, waiting.length);
    hasRead = false;
  };
  const closeOutOfReach = () => {
    const [first] = waiting;
    if (!first) return;
    const readingTime = readingMeter.getTime();
    const longestWait =
      waited - first.arrivedAt + (readingTime ?? 0) * (waiting.length - 1);
    // No limit is shorter, and while a box is calm none has to be worked out.
    if (longestWait <= MIN_UNREAD_MS) return;
    const limit = getUnreadLimit();
    if (limit === undefined || longestWait <= limit || !isBusy()) return;
    const reasons = decideReach(
      waiting.map(({ arrivedAt }) => waited - arrivedAt),
      { limit, readingTime },
    );
    for (const [i, { connection, arrivedAt }] of waiting.entries()) {
      const reason = reasons[i];
      if (reason) closeUnread(connection, reason, (waited - arrivedAt) as Ms);
    }
    waiting = waiting.filter((_, i) => !reasons[i]);
  };
  const readNext = () => {
    const isAccepting = hasAccepted && acceptingTurns < MAX_ACCEPTING_TURNS;
    hasAccepted = false;
    acceptingTurns = isAccepting ? acceptingTurns + 1 : 0;
    const next = isAccepting ? undefined : waiting.shift();
    if (!next) return;
    hasRead = true;
    startReading(next.connection);
  };
  const endTurn = () => {
    countTurn();
    closeOutOfReach();
    readNext();
    if (waiting.length > 0) scheduleTurnEnd(endTurn);
  };

  return {
    add: (connection) => {
      hasAccepted = true;
      if (waiting.length === 0) {
        turnEndedAt = clock.monotonic();
        waitingSince = waited;
        hasRead = false;
        scheduleTurnEnd(endTurn);
      }
      waiting.push({ connection, arrivedAt: waited });
    },
    recordClosed: () => {
      hasAccepted = true;
    },
    readBacklog: () => ({
      count: waiting.length,
      age: waiting.length > 0 ? waited - waitingSince : 0,
      limit: getUnreadLimit(),
    }),
  };
};
