/**
 * The connections at the listener for other boxes, and what each may take of the process. A box that reaches a limit
 * loses its connection, opens it anew and sends its whole state again.
 */
import type { Clock } from "@stairgauge/common";
import { createPieceTurns, type ConnectionPieces, type Reading } from "./pieceTurns.js";

/** What bounds these connections. */
export type PeerLimits = Readonly<{
  /** Largest number of open connections; a further one takes the place of one without a call. */
  maxConnections: number;
  /**
   * Largest number of open calls beside `CALLS_OF_A_LINK` for each connection; beyond it, the connection with most of
   * them is ended, and those without a valid message on a call.
   */
  maxCalls: number;
  /**
   * Largest number of open calls on a connection; the other box holds further ones back, in the order of their arrival
   * and so without regard to their urgency.
   */
  maxCallsOfConnection: number;
  /** Most bytes of messages that wait to be read by other boxes; beyond it, connections that hold some longest are ended. */
  maxUnreadBytes: number;
  /**
   * Most bytes that have been received and not been handled, as a rule of messages that are not whole yet; beyond it,
   * the connections that hold some longest are ended.
   */
  maxUnhandledBytes: number;
}>;

/** Why a connection was ended, or not taken. */
export type PeerLimit =
  /** There were too many connections, and this one had been without a call for longest. */
  | "idle"
  /** There were too many connections, all with calls, and this one was new. */
  | "too_many_connections"
  /** There were too many open calls, and most of them were on this one, or it had no call with a valid message. */
  | "too_many_calls"
  /** Too much waited to be read by other boxes, and some of this one's had waited for longest. */
  | "answer_unread"
  /** Too much was received that could not be handled, and some of this one's had waited for longest. */
  | "sent_ahead";

/**
 * Time in which the answers on a connection may wait before it is ended for them. Connections that are read hold some
 * for a shorter time.
 */
const MIN_UNREAD_MS = 250;

/** Calls that a link between two boxes always has open: the streams of updates and of table questions. */
const CALLS_OF_A_LINK = 2;

/** What is needed of a connection's socket. */
export type PeerSocket = Readonly<{ destroy: () => void; reading: Reading }>;

/** One call on a connection. */
export type PeerCall = Readonly<{
  /** The other box has sent a valid message on it. */
  onMessage: () => void;
  /** Counts bytes of a message to the other box; returns what is called when they were sent. */
  holdBytes: (bytes: number) => () => void;
  /** Changes the count of bytes that were received and not handled. */
  changeUnhandled: (bytes: number) => void;
  /** A small piece of a message has arrived. */
  onSmallPiece: () => void;
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
  /** Whether there is memory for another answer. */
  hasRoom: () => boolean;
  /** The other box does not read what is sent on a connection. */
  endUnread: (peer: string) => void;
  count: () => number;
  /** Closes all. */
  close: () => void;
}>;

/** Options of the connections. */
export type PeerConnectionsOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  limits: PeerLimits;
  onLimit: (limit: PeerLimit) => void;
}>;

type Connection = {
  readonly peer: string;
  readonly socket: PeerSocket;
  readonly pieces: ConnectionPieces;
  /** Open calls, and those of them on which a valid message came. */
  calls: number;
  activeCalls: number;
  /** Bytes that wait to be read by the other box, and since when there are some. */
  unreadBytes: number;
  unreadSince: number;
};

/** What a call holds that was received and not handled. */
type Unhandled = Readonly<{ connection: Connection; bytes: number }>;

/** A call on a connection that has ended. */
const NO_CALL: PeerCall = {
  onMessage: () => undefined,
  holdBytes: () => () => undefined,
  changeUnhandled: () => undefined,
  onSmallPiece: () => undefined,
  onEnd: () => undefined,
};

/** Creates them; none is open. */
export const createPeerConnections = ({
  clock,
  limits,
  onLimit,
}: PeerConnectionsOptions): PeerConnections => {
  const connections = new Map<string, Connection>();
  const turns = createPieceTurns(clock);
  /** Connections without an active call, the longest first. */
  const idle = new Set<Connection>();
  /** Connections with unread bytes, the longest first. */
  const unread = new Set<Connection>();
  /** Calls with bytes that were not handled, the longest first. */
  const unhandled = new Map<symbol, Unhandled>();
  let calls = 0;
  let unreadBytes = 0;
  let unhandledBytes = 0;

  const drop = (connection: Connection) => {
    connections.delete(connection.peer);
    connection.pieces.close();
    idle.delete(connection);
    unread.delete(connection);
    calls -= connection.calls;
    unreadBytes -= connection.unreadBytes;
  };
  const isOpen = (connection: Connection) =>
    connections.get(connection.peer) === connection;
  const endConnection = (connection: Connection, limit: PeerLimit) => {
    drop(connection);
    onLimit(limit);
    connection.socket.destroy();
  };
  const changeCalls = (connection: Connection, change: 1 | -1) => {
    connection.calls += change;
    if (isOpen(connection)) calls += change;
  };
  const changeActiveCalls = (connection: Connection, change: 1 | -1) => {
    connection.activeCalls += change;
    if (connection.activeCalls > 0) idle.delete(connection);
    else if (isOpen(connection)) idle.add(connection);
  };
  const changeUnread = (connection: Connection, bytes: number) => {
    if (!isOpen(connection)) return;
    connection.unreadBytes += bytes;
    unreadBytes += bytes;
    if (connection.unreadBytes <= 0) unread.delete(connection);
    else if (!unread.has(connection)) {
      connection.unreadSince = clock.monotonic();
      unread.add(connection);
    }
  };
  const setUnhandled = (call: symbol, connection: Connection, bytes: number) => {
    unhandledBytes += bytes - (unhandled.get(call)?.bytes ?? 0);
    if (bytes > 0) unhandled.set(call, { connection, bytes });
    else unhandled.delete(call);
  };
  /** The calls of an ended connection hold nothing any more once they have ended, which they do at once. */
  const limitUnhandled = () => {
    let left = unhandledBytes;
    for (const { connection, bytes } of unhandled.values()) {
      if (left <= limits.maxUnhandledBytes) return;
      left -= bytes;
      if (isOpen(connection)) endConnection(connection, "sent_ahead");
    }
  };
  const limitCalls = () => {
    if (calls <= limits.maxCalls + CALLS_OF_A_LINK * connections.size) return;
    const most = [...connections.values()].reduce((one, other) =>
      other.calls > one.calls ? other : one,
    );
    endConnection(most, "too_many_calls");
    // A crowd's other connections bring as many in this turn of the event loop, before any of its calls can end.
    for (const connection of [...idle]) endConnection(connection, "too_many_calls");
  };
  const endLongestUnread = () => {
    for (const connection of unread) {
      const isLong = clock.monotonic() - connection.unreadSince >= MIN_UNREAD_MS;
      if (unreadBytes <= limits.maxUnreadBytes || !isLong) return;
      endConnection(connection, "answer_unread");
    }
  };

  return {
    add: (peer, socket) => {
      const former = connections.get(peer);
      // It has ended, or no other could have its port; its close is reported later.
      if (former) drop(former);
      if (connections.size >= limits.maxConnections) {
        const [longest] = idle;
        if (!longest) {
          onLimit("too_many_connections");
          socket.destroy();
          return false;
        }
        endConnection(longest, "idle");
      }
      const connection = {
        peer,
        socket,
        pieces: turns.open(socket.reading),
        calls: 0,
        activeCalls: 0,
        unreadBytes: 0,
        unreadSince: 0,
      };
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
      if (!connection) return NO_CALL;
      let isActive = false;
      let heldBytes = 0;
      let isOver = false;
      let unhandledOfCall = 0;
      const id = Symbol("call");
      changeCalls(connection, 1);
      limitCalls();
      return {
        onMessage: () => {
          if (isActive) return;
          isActive = true;
          changeActiveCalls(connection, 1);
        },
        holdBytes: (bytes) => {
          heldBytes += bytes;
          changeUnread(connection, bytes);
          return () => {
            if (isOver) return;
            heldBytes -= bytes;
            changeUnread(connection, -bytes);
          };
        },
        changeUnhandled: (bytes) => {
          if (isOver) return;
          unhandledOfCall += bytes;
          setUnhandled(id, connection, unhandledOfCall);
          if (bytes > 0) limitUnhandled();
        },
        onSmallPiece: connection.pieces.spend,
        onEnd: () => {
          isOver = true;
          setUnhandled(id, connection, 0);
          changeCalls(connection, -1);
          changeUnread(connection, -heldBytes);
          if (isActive) changeActiveCalls(connection, -1);
        },
      };
    },
    hasRoom: () => {
      endLongestUnread();
      return unreadBytes <= limits.maxUnreadBytes;
    },
    endUnread: (peer) => {
      const connection = connections.get(peer);
      if (connection) endConnection(connection, "answer_unread");
    },
    count: () => connections.size,
    close: () => {
      for (const connection of [...connections.values()]) {
        drop(connection);
        connection.socket.destroy();
      }
    },
  };
};
