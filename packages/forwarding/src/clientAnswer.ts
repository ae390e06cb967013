/** The one answer to one client: written through here only, once, and never made to look whole when it is not. */
import type { ServerResponse } from "node:http";
import type { RawHeaders } from "./types.js";

/** An answer that goes out with one head and one end. */
export type ClientAnswer = Readonly<{
  hasBegun: () => boolean;
  isOver: () => boolean;
  /** Sends a whole answer. */
  sendWhole: (head: WholeHead, body: Buffer) => void;
  /** Sends the head of an answer whose body follows. */
  begin: (head: WholeHead) => void;
  /** Sends bytes of the body; false when the client reads slower than they come. */
  write: (bytes: Buffer) => boolean;
  end: () => void;
  /** Breaks the connection off, so that what was sent cannot be taken for whole. */
  break: () => void;
  onDrain: (listener: () => void) => void;
}>;

/** Status and headers of an answer. */
export type WholeHead = Readonly<{
  status: number;
  reason?: string | undefined;
  headers: RawHeaders;
}>;

/** Wraps the response object of one request. */
export const createClientAnswer = (
  response: ServerResponse,
  isLastOnConnection: () => boolean,
): ClientAnswer => {
  // A client of HTTP/1.0 knows no chunks: its answer ends with the connection, and only a reset tells a broken one apart.
  const knowsChunks = response.req.httpVersion !== "1.0";
  let hasBegun = false;
  let isOver = false;
  response.sendDate = false;

  const writeHead = ({ status, reason, headers }: WholeHead, framing: RawHeaders) => {
    hasBegun = true;
    const closing = isLastOnConnection() ? ["Connection", "close"] : [];
    const all = [...headers, ...framing, ...closing];
    if (reason) response.writeHead(status, reason, all);
    else response.writeHead(status, all);
  };

  return {
    hasBegun: () => hasBegun,
    isOver: () => isOver,
    sendWhole: (head, body) => {
      if (hasBegun || isOver) return;
      isOver = true;
      const hasBody = head.status !== 204 && head.status !== 304;
      writeHead(head, hasBody ? ["Content-Length", String(body.length)] : []);
      response.end(body);
    },
    begin: (head) => {
      if (hasBegun || isOver) return;
      writeHead(head, knowsChunks ? ["Transfer-Encoding", "chunked"] : []);
      response.flushHeaders();
    },
    write: (bytes) => isOver || response.write(bytes),
    end: () => {
      if (isOver) return;
      isOver = true;
      response.end();
    },
    break: () => {
      if (isOver) return;
      isOver = true;
      if (!knowsChunks) response.socket?.resetAndDestroy();
      response.destroy();
    },
    onDrain: (listener) => void response.on("drain", listener),
  };
};
