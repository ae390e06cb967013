/** An HTTP server with a find-my-way router and limits on request heads. */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import findMyWay from "find-my-way";
import { listenOn } from "@stairgauge/common";
import { HEADERS_TIMEOUT_MS, KEEP_ALIVE_MS, MAX_HEADER_BYTES } from "./constants.js";

/** A request, its response and the parsed URL, as passed to a route's handler. */
export type HttpExchange = Readonly<{
  request: IncomingMessage;
  response: ServerResponse;
  params: Readonly<Record<string, string | undefined>>;
  query: URLSearchParams;
}>;

/** One route. `path` is a find-my-way pattern. */
export type HttpRoute = Readonly<{
  method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
  path: string;
  handle: (exchange: HttpExchange) => void | Promise<void>;
}>;

/** Why a request was refused before routing: Node could not parse it, or it came too slowly. */
export type ClientFault = "header_too_large" | "too_slow" | "malformed";

/** A complete answer. */
export type HttpAnswer = Readonly<{
  status: number;
  headers: OutgoingHttpHeaders;
  body: string;
}>;

/** Certificate and private key of a server, in PEM. */
export type TlsIdentity = Readonly<{ cert: string; key: string }>;

/** Options of a server. */
export type HttpServerOptions = Readonly<{
  routes: readonly HttpRoute[];
  /** Answers a request that matches no route. */
  handleUnknown: (exchange: HttpExchange) => void;
  /** Builds the answer to a request that was refused before routing. */
  renderClientFault: (fault: ClientFault) => HttpAnswer;
  /** If given, the server uses HTTPS. */
  tls?: TlsIdentity | undefined;
  /** Called with what a route's handler threw, which is a bug in this program; the connection is closed. */
  reportFault: (error: unknown) => void;
}>;

/** A server that can be opened and closed. */
export type HttpServer = Readonly<{
  /** Listens on `host:port` and resolves to the port; port 0 picks a free one. Rejects if it can't listen, and may then be called again. */
  open: (host: string, port: number) => Promise<number>;
  /** Stops accepting connections and closes idle ones; resolves when all are closed. */
  close: () => Promise<void>;
  /** Closes all connections at once, also those with a running request. */
  destroy: () => void;
}>;

const FAULT_BY_CODE: Readonly<Record<string, ClientFault>> = {
  HPE_HEADER_OVERFLOW: "header_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "too_slow",
};

/** Sends a JSON answer; does nothing if headers were already sent or the response is destroyed. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void => {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
};

const writeRawAnswer = (socket: Socket, answer: HttpAnswer) => {
  const head = [
    `HTTP/1.1 ${answer.status} Error`,
    "Connection: close",
    `Content-Length: ${Buffer.byteLength(answer.body)}`,
    ...Object.entries(answer.headers).map(([key, value]) => `${key}: ${String(value)}`),
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${answer.body}`);
};

const buildRouter = (options: HttpServerOptions) => {
  const router = findMyWay({
    ignoreTrailingSlash: true,
    maxParamLength: 500,
    defaultRoute: (request, response) => {
      const query = new URLSearchParams();
      options.handleUnknown({ request, response, params: {}, query });
    },
  });
  for (const route of options.routes) {
    router.on(route.method, route.path, (request, response, params, _store, query) => {
      const exchange: HttpExchange = {
        request,
        response: response,
        params,
        query: new URLSearchParams(query as Record<string, string>),
      };
      void runRoute(route, exchange, options);
    });
  }
  return router;
};

const runRoute = async (
  route: HttpRoute,
  exchange: HttpExchange,
  options: HttpServerOptions,
) => {
  try {
    await route.handle(exchange);
  } catch (error) {
    options.reportFault(error);
    exchange.response.destroy();
  }
};

/** Creates the server; `open` makes it listen. */
export const createHttpServer = (options: HttpServerOptions): HttpServer => {
  const router = buildRouter(options);
  let isClosing = false;
  const closeIfIdle = () => {
    if (isClosing) setImmediate(() => server.closeIdleConnections());
  };
  const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
    response.on("close", closeIfIdle);
    router.lookup(request, response);
  };
  const limits = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    // NOTE: disabled, as readBody limits the idle and total time of bodies.
    requestTimeout: 0,
    noDelay: true,
  };
  const server: Server = options.tls
    ? createTlsServer({ ...limits, ...options.tls }, handleRequest)
    : createServer(limits, handleRequest);
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const fault = FAULT_BY_CODE[error.code ?? ""] ?? "malformed";
    writeRawAnswer(socket as Socket, options.renderClientFault(fault));
  });

  return {
    open: (host, port) => listenOn(server, { host, port }),
    close: () =>
      new Promise((resolve) => {
        isClosing = true;
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
    destroy: () => server.closeAllConnections(),
  };
};
