/** The HTTP server for clients, with limits on head size, head time and idle connections. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Clock, Ms } from "@stairgauge/common";
import type { ClientLimits } from "@stairgauge/routing";
import {
  createArrivals,
  createReadTurns,
  type Arrivals,
  type Backlog,
  type Intake,
  type UnreadLimit,
} from "@stairgauge/saturation";
import {
  createConnectionReader,
  type ClientLimit,
  type ConnectionReader,
  type ConnectionReaderOptions,
} from "./connectionReader.js";
import { createIdleConnections } from "./idleConnections.js";
import { createReclaimableMemory } from "./reclaimableMemory.js";

/** Limits until a configuration is loaded; the defaults in the platform's documentation. */
const DEFAULT_HEADER_MS = 3_000;
const DEFAULT_IDLE_MS = 15_000;

/** Largest head that the parser accepts; the configured limit is checked in addition. */
const PARSER_HEAD_BYTES = 64 * 1024;

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

/** Connections beyond the limit while idle ones that were closed for them are still being freed. */
const SPARE_CONNECTIONS = 32;

/** Connections that may wait in the kernel to be accepted; the client of a further one gets no connection. */
const MAX_NOT_ACCEPTED = 4_096;

/** Options of the client server. */
export type ClientServerOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  handle: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Largest number of open connections; a further one takes the place of an idle one, or is closed unread if there is none. */
  maxConnections: number;
  /**
   * Most bytes that clients have sent and that wait to be handled, and of answers that clients don't read; beyond it,
   * connections that hold some longest are closed.
   */
  maxUnreadBytes: number;
  /** Decides about each new connection; one that finds no room is closed unread. */
  intake: Pick<Intake, "hasRoom" | "recordTurnedAway">;
  /** Whether the event loop has no idle time. */
  isBusy: () => boolean;
  /** Tells how long a connection may stay unread. */
  unreadLimit: Pick<UnreadLimit, "get">;
  /** A client sent an invalid request, or its connection was dropped; `code` is the error code. */
  onClientError: (code: string) => void;
  /** A connection was ended for what its client kept the box from doing for others. */
  onLimit: (limit: ClientLimit) => void;
}>;

/** The HTTP server for clients. */
export type ClientServer = Readonly<{
  /** Resolves with the port; rejects if the server cannot listen. */
  listen: (host: string, port: number) => Promise<number>;
  applyLimits: (limits: ClientLimits) => void;
  /** Number of connections that have not sent their first request. */
  countUnused: () => number;
  /** Reads how many connections wait to be read. */
  readBacklog: () => Backlog;
  /** Stops listening and closes all connections. */
  close: () => void;
}>;

const measureHead = (incoming: IncomingMessage): number =>
  incoming.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    incoming.url?.length ?? 0,
  );

const isHostMissing = ({ headers, httpVersion }: IncomingMessage): boolean =>
  headers.host === undefined && httpVersion === "1.1";

const rejectRequest = (response: ServerResponse, status: number) => {
  response.writeHead(status, ["Connection", "close", "Content-Length", "0"]);
  response.end();
};

/** Code of the error of a connection whose head did not come in time. */
const HEAD_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [HEAD_TIMEOUT]: "408 Request Timeout",
};

const rejectMalformed = (socket: Socket, code: string) => {
  if (!socket.writable || code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const line = STATUS_LINES[code] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
};

/** Has the server's parser get what a client sends from a reader of ours, instead of all that a read brings. */
const startReader = (
  socket: Socket,
  shared: Pick<ConnectionReaderOptions, "clock" | "turns" | "memory" | "onLimit">,
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

/** Keeps the server from reading a new connection until it has accepted those that wait. */
const createSocketArrivals = (
  server: Server,
  { clock, isBusy, intake, unreadLimit }: ClientServerOptions,
  startReading: (socket: Socket) => void,
): Arrivals<Socket> => {
  const listeners = server.listeners("connection");
  const arrivals = createArrivals<Socket>({
    clock,
    isBusy,
    getUnreadLimit: unreadLimit.get,
    scheduleTurnEnd: setImmediate,
    startReading: (socket) => {
      if (socket.destroyed) return;
      for (const onConnection of listeners) onConnection.call(server, socket);
      startReading(socket);
    },
    closeUnread: (socket, reason, waited) => {
      socket.destroy();
      intake.recordTurnedAway(reason, waited);
    },
  });
  // The types of the options of an HTTP server lack this one of its listener.
  Object.assign(server, { pauseOnConnect: true });
  server.removeAllListeners("connection");
  server.on("connection", arrivals.add);
  return arrivals;
};

/** Creates the server; it does not listen yet. */
export const createClientServer = (options: ClientServerOptions): ClientServer => {
  const { clock, intake, onLimit } = options;
  let headBytes = PARSER_HEAD_BYTES;
  const unused = new Set<Socket>();
  /** Connections whose head is late, until this turn of the event loop ends. */
  const overdue = new Set<Socket>();

  const readers = new WeakMap<Socket, ConnectionReader>();
  const turns = createReadTurns({
    clock,
    scheduleTurnEnd: setImmediate,
  });
  const memory = createReclaimableMemory(options.maxUnreadBytes);

  const idle = createIdleConnections<Socket>(clock);
  let connections = 0;

  const trackConnection = (socket: Socket) => {
    unused.add(socket);
    connections += 1;
    socket.once("close", () => {
      unused.delete(socket);
      idle.remove(socket);
      connections -= 1;
    });
    if (connections <= options.maxConnections) return;
    const longest = idle.take();
    if (!longest) return;
    onLimit("idle");
    longest.destroy();
  };
  /** Whether the server takes one more connection: beyond the limit it closes an idle one for it. */
  const canAccept = () =>
    intake.hasRoom() &&
    (connections < options.maxConnections ||
      (connections < options.maxConnections + SPARE_CONNECTIONS && idle.canTake()));
  const recordRequest = (incoming: IncomingMessage, response: ServerResponse) => {
    const { socket } = incoming;
    unused.delete(socket);
    overdue.delete(socket);
    const reader = readers.get(socket);
    reader?.onRequest(incoming, response);
    idle.remove(socket);
    response.once("close", () => {
      if (reader?.isIdle() && !socket.destroyed) idle.add(socket, "used");
    });
  };
  const handleDrop = () => {
    arrivals.recordClosed();
    if (intake.hasRoom()) options.onClientError("too_many_connections");
    else intake.recordTurnedAway("no_room", 0 as Ms);
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
      recordRequest(incoming, response);
      if (measureHead(incoming) > headBytes) rejectRequest(response, 431);
      else if (isHostMissing(incoming)) rejectRequest(response, 400);
      else options.handle(incoming, response);
    },
  );
  server.on("checkExpectation", (incoming, response) => {
    recordRequest(incoming, response);
    rejectRequest(response, 417);
  });
  server.headersTimeout = DEFAULT_HEADER_MS;
  server.requestTimeout = 0;
  // The server reads the limit for each new connection, and closes one beyond it before it reads from it.
  Object.defineProperty(server, "maxConnections", {
    get: () => (canAccept() ? UNLIMITED_CONNECTIONS : NO_CONNECTIONS),
  });
  server.on("drop", handleDrop);
  const arrivals = createSocketArrivals(server, options, (socket) => {
    readers.set(socket, startReader(socket, { clock, turns, memory, onLimit }));
    idle.add(socket, "unused");
  });
  server.on("connection", trackConnection);
  server.keepAliveTimeout = DEFAULT_IDLE_MS + IDLE_MARGIN_MS;
  const reject = (socket: Socket, code: string) => {
    options.onClientError(code);
    rejectMalformed(socket, code);
  };
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
    countUnused: () => unused.size,
    readBacklog: arrivals.readBacklog,
    listen: (host, port) =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: MAX_NOT_ACCEPTED }, () => {
          const address = server.address();
          resolve(typeof address === "object" && address ? address.port : port);
        });
      }),
    applyLimits: (limits) => {
      headBytes = limits.headerBytes;
      server.headersTimeout = limits.headerTime;
      server.keepAliveTimeout = limits.idleTime + IDLE_MARGIN_MS;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
      for (const socket of unused) socket.destroy();
    },
  };
};
