/** The listener for clients: bounds on heads, times and idle connections, and a stop that cuts nothing. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientLimits } from "@stairgauge/routing";

/** Bounds until a configuration is known; from the users' pages. */
const DEFAULT_HEADER_MS = 3_000;
const DEFAULT_IDLE_MS = 15_000;

/** Largest head that the parser takes at all; the configured bound is checked on top. */
const PARSER_HEAD_BYTES = 64 * 1024;

/** How often open connections are checked against the time limits. */
const CHECK_INTERVAL_MS = 500;

/** Clients take up a connection that rested for up to 4/5 of the idle time; ours closes later than all of it. */
const IDLE_MARGIN_MS = 1_000;

/** How soon a vanished client's connection is probed. */
const KEEPALIVE_MS = 1_000;

/** Where and what to serve. */
export type ClientServerOptions = Readonly<{
  handle: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Connections taken at once; one beyond them is closed unread. */
  mostConnections: number;
  /** A client sent bytes that are no request. */
  onClientFault: (code: string) => void;
}>;

/** A listener for clients. */
export type ClientServer = Readonly<{
  listen: (host: string, port: number) => Promise<number>;
  applyLimits: (limits: ClientLimits) => void;
  /** Ends all connections. */
  close: () => void;
}>;

const measureHead = (incoming: IncomingMessage): number =>
  incoming.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    incoming.url?.length ?? 0,
  );

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

const answerFault = (socket: Socket, code: string) => {
  if (!socket.writable || code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const line = STATUS_LINES[code] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
};

/** Creates the listener. */
export const createClientServer = (options: ClientServerOptions): ClientServer => {
  let headBytes = PARSER_HEAD_BYTES;
  const server = createServer(
    {
      maxHeaderSize: PARSER_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEPALIVE_MS,
      noDelay: true,
    },
    (incoming, response) => {
      if (measureHead(incoming) <= headBytes) {
        options.handle(incoming, response);
        return;
      }
      response.writeHead(431, ["Connection", "close", "Content-Length", "0"]);
      response.end();
    },
  );
  server.headersTimeout = DEFAULT_HEADER_MS;
  server.requestTimeout = 0;
  server.maxConnections = options.mostConnections;
  server.on("drop", () => options.onClientFault("too_many_connections"));
  server.keepAliveTimeout = DEFAULT_IDLE_MS + IDLE_MARGIN_MS;
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const code = error.code ?? "unknown";
    options.onClientFault(code);
    answerFault(socket as Socket, code);
  });

  return {
    listen: (host, port) =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, () => {
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
    },
  };
};
