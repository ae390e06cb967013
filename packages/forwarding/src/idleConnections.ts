/**
 * Connections without a request that is being handled, of which one may be closed for a new one where there are too
 * many. Those that have sent no whole request yet go first, as their clients lose nothing but the connection, and those
 * whose client has not read its answer last; of each kind the one that has been idle longest: a client with a request
 * sends it as soon as it is connected.
 */
import type { Clock, Ms } from "@stairgauge/common";

/** Whether a connection has sent a whole request, and whether its client has still to read the answer. */
export type ConnectionUse = "unused" | "used" | "unread";

/**
 * Time in which a connection is not closed: of a new one, or one that has just been answered, a request may be on its
 * way. Infinity where connections of a kind are never closed.
 */
export type MinIdle = Readonly<Record<ConnectionUse, Ms>>;

/** In the order in which they are closed. */
const USES: readonly ConnectionUse[] = ["unused", "used", "unread"];

/** The idle connections of one listener. */
export type IdleConnections<Connection> = Readonly<{
  /** Adds one, or changes its use; its time begins anew. */
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
  minIdle: MinIdle,
): IdleConnections<Connection> => {
  /** When each connection became idle, the longest idle first. */
  const since: Readonly<Record<ConnectionUse, Map<Connection, number>>> = {
    unused: new Map(),
    used: new Map(),
    unread: new Map(),
  };
  const findLongest = (use: ConnectionUse) => {
    const [first] = since[use];
    const isLongEnough = first && clock.monotonic() - first[1] >= minIdle[use];
    return isLongEnough ? first[0] : undefined;
  };
  const find = () => {
    for (const use of USES) {
      const found = findLongest(use);
      if (found !== undefined) return found;
    }
    return undefined;
  };
  const remove = (connection: Connection) => {
    for (const use of USES) since[use].delete(connection);
  };
  return {
    add: (connection, use) => {
      remove(connection);
      since[use].set(connection, clock.monotonic());
    },
    remove,
    canTake: () => find() !== undefined,
    take: () => {
      const found = find();
      if (found !== undefined) remove(found);
      return found;
    },
  };
};
