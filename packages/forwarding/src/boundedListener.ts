/**
 * An HTTP listener whose connections can't take more of the process than its limits: requests are handled one after the
 * other on each connection, bytes that wait are counted, and where there are too many connections an idle one is closed
 * for a new one. All listeners for HTTP are built on it, each with its own limits.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { listenOn, type Clock, type Ms } from "@stairgauge/common";
import { createReadTurns, type Arrivals, type ReadTurns } from "@stairgauge/saturation";
import {
  createConnectionReader,
  type ClientLimit,
  type ConnectionReader,
  type ConnectionReaderOptions,
} from "./connectionReader.js";
import { createIdleConnections, type MinIdle } from "./idleConnections.js";
import { createLingeringCloses } from "./lingeringClose.js";
import { createReclaimableMemory } from "./reclaimableMemory.js";

/** Time limits until others are set. */
const DEFAULT_HEADER_MS = 3_000 as Ms;
const DEFAULT_IDLE_MS = 15_000 as Ms;

/** Largest head that the parser accepts. */
export const PARSER_HEAD_BYTES = 64 * 1024;

/** How often the time limits of open connections are checked. */
const CHECK_INTERVAL_MS = 500;

/**
 * Added to the idle timeout. Clients reuse a connection that was idle for up to 4/5 of the timeout, so
 * the server must not close it before.
 */
const IDLE_MARGIN_MS = 1_000;

/** Idle time after which TCP keep-alive probes detect a client that has vanished. */
const KEEPALIVE_MS = 1_000;

/** Below zero, since the server takes zero for no limit. */
const NO_CONNECTIONS = -1;
const UNLIMITED_CONNECTIONS = Number.MAX_SAFE_INTEGER;

/** Connections that may wait in the kernel to be accepted; the client of a further one gets no connection. */
const MAX_NOT_ACCEPTED = 4_096;

/** What a listener may take of the process. */
export type ListenerLimits = Readonly<{
  /** Largest number of open connections; a further one takes the place of an idle one, or is closed unread if there is none. */
  getMaxConnections: () => number;
  /** Connections beyond the limit while idle ones that were closed for them are still being freed. */
  spareConnections: number;
  /**
   * Most bytes that clients have sent and that wait to be handled, and of answers that clients don't read; beyond it,
   * connections that hold some longest are closed.
   */
  maxUnreadBytes: number;
  /** Which connections may be closed for a new one. */
  minIdle: MinIdle;
  /**
   * Connections beyond which each answer ends its connection, so that its client opens a new one instead of losing a
   * request on one that is closed for another; no such number if undefined.
   */
  maxKeptConnections?: number;
}>;

/** Handles a request; `countUnread` counts what of its answer waits to be read. */
export type HandleRequest = (
  incoming: IncomingMessage,
  response: ServerResponse,
  countUnread: () => void,
) => void;

/** Options of a listener. */
export type BoundedListenerOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  limits: ListenerLimits;
  /** `countUnread` has to be called when an answer that goes on has filled the buffer of its connection. */
  handle: HandleRequest;
  /** Divides the time for reading among all connections of the process; the listener has turns of its own if undefined. */
  turns?: ReadTurns | undefined;
  /** Whether the process takes one more connection, whatever the limit. */
  hasRoom?: () => boolean;
  /** Decides when a new connection is read, by `startReading`; without it, each is read at once. */
  arrivals?: Pick<Arrivals<Socket>, "add" | "recordClosed">;
  /** A connection was closed as soon as it was accepted. */
  onDrop: () => void;
  /** A client sent an invalid request, or its connection was dropped; `code` is the error code. */
  onClientError: (code: string) => void;
  /** A connection was ended for what its client kept the process from doing for others. */
  onLimit: (limit: ClientLimit) => void;
}>;

/** The listener. */
export type BoundedListener = Readonly<{
  /** Resolves with the port; rejects if the listener cannot listen, and may then be called again. */
  listen: (host: string, port: number) => Promise<number>;
  /** Sets within which time a head has to arrive, and for how long a connection may be idle. */
  setTimes: (times: Readonly<{ headerTime: Ms; idleTime: Ms }>) => void;
  /** Begins to read from a connection that the arrivals were handed. */
  startReading: (socket: Socket) => void;
  /** Number of connections that have not sent their first request. */
  countUnused: () => number;
  /** Number of connections that are being closed behind their last answers. */
  countClosing: () => number;
  /** Stops listening and closes all connections. */
  close: () => void;
}>;

/** Answers a request without a body and closes its connection. */
export const rejectRequest = (response: ServerResponse, status: number) => {
  response.writeHead(status, ["Connection", "close", "Content-Length", "0"]);
  response.end();
};

/** Code of the error of a connection whose head did not come in time. */
const HEAD_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";

/** Code of a client's request for a tunnel, which the server hands over unanswered. */
const TUNNEL = "tunnel";

const STATUS_LINES: Readonly<Record<string, string>> = {
  [TUNNEL]: "501 Not Implemented",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [HEAD_TIMEOUT]: "408 Request Timeout",
};

const rejectMalformed = (socket: Socket, code: string, close: () => void) => {
  if (!socket.writable || code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const line = STATUS_LINES[code] ?? "400 Bad Request";
  socket.write(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  close();
};

/** Has the server's parser get what a client sends from a reader of ours, instead of all that a read brings. */
const startReader = (
  socket: Socket,
  shared: Pick<
    ConnectionReaderOptions,
    "clock" | "turns" | "closes" | "memory" | "onLimit"
  >,
): ConnectionReader => {
  const parsers = socket.listeners("data");
  socket.removeAllListeners("data");
  return createConnectionReader({
    ...shared,
    socket,
    parse: (piece) => {
      for (const parse of parsers) parse.call(socket, piece);
    },
  });
};

/** Has each new connection handed to `accept`, and reads none before the returned function is called with it. */
const takeConnections = (
  server: Server,
  accept: (socket: Socket) => void,
): ((socket: Socket) => void) => {
  const listeners = server.listeners("connection");
  // The types of the options of an HTTP server lack this one of its listener.
  Object.assign(server, { pauseOnConnect: true });
  server.removeAllListeners("connection");
  server.on("connection", accept);
  return (socket) => {
    for (const onConnection of listeners) onConnection.call(server, socket);
  };
};

/** Creates a listener that does not listen yet. */
export const createBoundedListener = (
  options: BoundedListenerOptions,
): BoundedListener => {
  const { clock, limits, arrivals, onLimit, hasRoom = () => true } = options;
  const { maxKeptConnections = Infinity } = limits;
  const unused = new Set<Socket>();
  /** Connections whose head is late, until this turn of the event loop ends. */
  const overdue = new Set<Socket>();

  const readers = new WeakMap<Socket, ConnectionReader>();
  const { turns = createReadTurns({ clock, scheduleTurnEnd: setImmediate }) } = options;
  const closes = createLingeringCloses({ clock, turns });
  const memory = createReclaimableMemory(limits.maxUnreadBytes);

  const idle = createIdleConnections<Socket>(clock, limits.minIdle);
  let connections = 0;

  const trackConnection = (socket: Socket) => {
    unused.add(socket);
    connections += 1;
    socket.once("close", () => {
      unused.delete(socket);
      idle.remove(socket);
      connections -= 1;
    });
    if (connections <= limits.getMaxConnections()) return;
    const longest = idle.take();
    if (!longest) return;
    onLimit("idle");
    longest.destroy();
  };
  /** Whether the server takes one more connection: beyond the limit it closes an idle one for it. */
  const canAccept = () => {
    const maxConnections = limits.getMaxConnections();
    if (!hasRoom()) return false;
    if (connections < maxConnections) return true;
    return connections < maxConnections + limits.spareConnections && idle.canTake();
  };
  const recordRequest = (incoming: IncomingMessage, response: ServerResponse) => {
    const { socket } = incoming;
    unused.delete(socket);
    overdue.delete(socket);
    const reader = readers.get(socket);
    const countUnread = reader?.onRequest(incoming, response);
    idle.remove(socket);
    response.once("prefinish", () => {
      if (!socket.destroyed) idle.add(socket, "unread");
    });
    response.once("close", () => {
      if (!reader?.isIdle() || socket.destroyed) return;
      idle.add(socket, reader.isClosing() ? "unused" : "used");
    });
    return countUnread ?? (() => undefined);
  };
  const server = createServer(
    {
      maxHeaderSize: PARSER_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEPALIVE_MS,
      noDelay: true,
      // A request that the server refused by itself would not be counted as open on its connection.
      requireHostHeader: false,
    },
    (incoming, response) => {
      const countUnread = recordRequest(incoming, response);
      if (connections > maxKeptConnections) response.shouldKeepAlive = false;
      options.handle(incoming, response, countUnread);
    },
  );
  server.on("checkExpectation", (incoming, response) => {
    recordRequest(incoming, response);
    rejectRequest(response, 417);
  });
  server.requestTimeout = 0;
  // The server reads the limit for each new connection, and closes one beyond it before it reads from it.
  Object.defineProperty(server, "maxConnections", {
    get: () => (canAccept() ? UNLIMITED_CONNECTIONS : NO_CONNECTIONS),
  });
  const startReading = (socket: Socket) => {
    if (socket.destroyed) return;
    openConnection(socket);
    readers.set(socket, startReader(socket, { clock, turns, closes, memory, onLimit }));
    idle.add(socket, "unused");
  };
  const openConnection = takeConnections(server, arrivals?.add ?? startReading);
  // Before the connection can be an idle one itself: room is made by closing another one.
  server.prependListener("connection", trackConnection);
  server.on("drop", () => {
    arrivals?.recordClosed();
    options.onDrop();
  });
  const setTimes: BoundedListener["setTimes"] = ({ headerTime, idleTime }) => {
    server.headersTimeout = headerTime;
    server.keepAliveTimeout = idleTime + IDLE_MARGIN_MS;
  };
  setTimes({ headerTime: DEFAULT_HEADER_MS, idleTime: DEFAULT_IDLE_MS });
  const reject = (socket: Socket, code: string) => {
    options.onClientError(code);
    rejectMalformed(socket, code, () => readers.get(socket)?.close());
  };
  server.on("connect", (_, duplex) => reject(duplex as Socket, TUNNEL));
  server.on("clientError", (error: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    const code = error.code ?? "unknown";
    if (code !== HEAD_TIMEOUT) {
      reject(socket, code);
      return;
    }
    // After a suspension, time limits are checked before what has arrived meanwhile is read.
    overdue.add(socket);
    setImmediate(() => {
      if (overdue.delete(socket)) reject(socket, code);
    });
  });

  return {
    setTimes,
    startReading,
    countUnused: () => unused.size,
    listen: (host, port) => listenOn(server, { host, port, backlog: MAX_NOT_ACCEPTED }),
    countClosing: closes.count,
    close: () => {
      server.close();
      server.closeAllConnections();
      for (const socket of unused) socket.destroy();
    },
  };
};
