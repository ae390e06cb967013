/**
 * Connections without an open request, of which one may be closed for a new one where there are too many: its client
 * loses nothing but the connection. Those that have sent no whole request yet go first, and of them, as of the others,
 * the one that has been idle longest: a client with a request sends it as soon as it is connected.
 */
import type { Clock } from "@stairgauge/common";

/** Time in which a new connection, or one that has just been answered, is not closed: a request may be on its way. */
const MIN_IDLE_MS = 250;

/** Whether a connection has sent a whole request. */
export type ConnectionUse = "unused" | "used";

/** The idle connections of one listener. */
export type IdleConnections<Connection> = Readonly<{
  add: (connection: Connection, use: ConnectionUse) => void;
  /** The connection has a request now, or is closed. */
  remove: (connection: Connection) => void;
  /** Whether there is one to close. */
  canTake: () => boolean;
  /** Removes the one to close; undefined if there is none. */
  take: () => Connection | undefined;
}>;

/** Creates an empty collection. */
export const createIdleConnections = <Connection>(
  clock: Pick<Clock, "monotonic">,
): IdleConnections<Connection> => {
  /** When each connection became idle, the longest idle first. */
  const since: Readonly<Record<ConnectionUse, Map<Connection, number>>> = {
    unused: new Map(),
    used: new Map(),
  };
  const findLongest = (connections: ReadonlyMap<Connection, number>) => {
    const [first] = connections;
    const isLongEnough = first && clock.monotonic() - first[1] >= MIN_IDLE_MS;
    return isLongEnough ? first[0] : undefined;
  };
  const find = () => findLongest(since.unused) ?? findLongest(since.used);
  const remove = (connection: Connection) => {
    since.unused.delete(connection);
    since.used.delete(connection);
  };
  return {
    add: (connection, use) => since[use].set(connection, clock.monotonic()),
    remove,
    canTake: () => find() !== undefined,
    take: () => {
      const found = find();
      if (found !== undefined) remove(found);
      return found;
    },
  };
};
