/**
 * The connections at the listener for other boxes, and what each may take of the process. A box that reaches a limit
 * loses its connection, opens it anew and sends its whole state again.
 */

/** What bounds these connections. */
export type PeerLimits = Readonly<{
  /** Largest number of open connections; a further one takes the place of one without a call. */
  maxConnections: number;
}>;

/** Why a connection was ended, or not taken. */
export type PeerLimit =
  /** There were too many connections, and this one had been without a call for longest. */
  | "idle"
  /** There were too many connections, all with calls, and this one was new. */
  | "too_many_connections";

/** What is needed of a connection's socket. */
export type PeerSocket = Readonly<{ destroy: () => void }>;

/** One call on a connection. */
export type PeerCall = Readonly<{
  /** The other box has sent a valid message on it. */
  onMessage: () => void;
  onEnd: () => void;
}>;

/** The open connections. */
export type PeerConnections = Readonly<{
  /** Adds a new connection under the name that the library gives its peer; false if it was closed instead. */
  add: (peer: string, socket: PeerSocket) => boolean;
  /** The connection was closed. */
  remove: (peer: string, socket: PeerSocket) => void;
  /** A call began on a connection. */
  openCall: (peer: string) => PeerCall;
  count: () => number;
  /** Closes all. */
  close: () => void;
}>;

/** Options of the connections. */
export type PeerConnectionsOptions = Readonly<{
  limits: PeerLimits;
  onLimit: (limit: PeerLimit) => void;
}>;

type Connection = {
  readonly peer: string;
  readonly socket: PeerSocket;
  /** Open calls on which a valid message came. */
  activeCalls: number;
};

/** Creates them; none is open. */
export const createPeerConnections = ({
  limits,
  onLimit,
}: PeerConnectionsOptions): PeerConnections => {
  const connections = new Map<string, Connection>();
  /** Connections without an active call, the longest first. */
  const idle = new Set<Connection>();

  const drop = (connection: Connection) => {
    connections.delete(connection.peer);
    idle.delete(connection);
  };
  const endConnection = (connection: Connection, limit: PeerLimit) => {
    drop(connection);
    onLimit(limit);
    connection.socket.destroy();
  };
  const changeActiveCalls = (connection: Connection, change: 1 | -1) => {
    connection.activeCalls += change;
    if (connection.activeCalls > 0) idle.delete(connection);
    else if (connections.get(connection.peer) === connection) idle.add(connection);
  };

  return {
    add: (peer, socket) => {
      if (connections.size >= limits.maxConnections) {
        const [longest] = idle;
        if (!longest) {
          onLimit("too_many_connections");
          socket.destroy();
          return false;
        }
        endConnection(longest, "idle");
      }
      const connection = { peer, socket, activeCalls: 0 };
      connections.set(peer, connection);
      idle.add(connection);
      return true;
    },
    remove: (peer, socket) => {
      const connection = connections.get(peer);
      // A new connection may have the port of one that was ended a moment ago.
      if (connection?.socket === socket) drop(connection);
    },
    openCall: (peer) => {
      const connection = connections.get(peer);
      let isActive = false;
      return {
        onMessage: () => {
          if (!connection || isActive) return;
          isActive = true;
          changeActiveCalls(connection, 1);
        },
        onEnd: () => {
          if (!connection || !isActive) return;
          isActive = false;
          changeActiveCalls(connection, -1);
        },
      };
    },
    count: () => connections.size,
    close: () => {
      for (const { socket } of connections.values()) socket.destroy();
      connections.clear();
      idle.clear();
    },
  };
};
