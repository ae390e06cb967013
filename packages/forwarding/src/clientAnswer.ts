/** The answer to one client. It is sent at most once, and an incomplete answer never looks complete. */
import type { ServerResponse } from "node:http";
import type { RawHeaders } from "./types.js";

/** An answer with one head and one end. */
export type ClientAnswer = Readonly<{
  hasBegun: () => boolean;
  isOver: () => boolean;
  /** Sends a complete answer. */
  sendWhole: (head: WholeHead, body: Buffer) => void;
  /** Sends the head of an answer whose body follows. */
  begin: (head: WholeHead) => void;
  /** Sends bytes of the body; false if the client reads too slowly and the write buffer is full. */
  write: (bytes: Buffer) => boolean;
  end: () => void;
  /** Breaks the connection, so that the client cannot take the answer as complete. */
  break: () => void;
  onDrain: (listener: () => void) => void;
}>;

/** Status and headers of an answer. */
export type WholeHead = Readonly<{
  status: number;
  reason?: string | undefined;
  headers: RawHeaders;
}>;

/** Options of an answer. */
export type ClientAnswerOptions = Readonly<{
  /** Whether the answer has to end its connection. */
  isLastOnConnection: () => boolean;
  /** The head was written. */
  onBegun: () => void;
  /** The client reads more slowly than the answer is written: more waits than the write buffer is meant to hold. */
  onBufferFull: () => void;
}>;

/** Wraps the response object of one request. */
export const createClientAnswer = (
  response: ServerResponse,
  { isLastOnConnection, onBegun, onBufferFull }: ClientAnswerOptions,
): ClientAnswer => {
  // HTTP/1.0 has no chunks: an answer ends when the connection closes, so a broken one needs a reset.
  const supportsChunks = response.req.httpVersion !== "1.0";
  let hasBegun = false;
  let isOver = false;
  response.sendDate = false;

  /** An answer has begun only once its head was accepted: a head that can't be written throws. */
  const writeHead = ({ status, reason, headers }: WholeHead, framing: RawHeaders) => {
    const closing = isLastOnConnection() ? ["Connection", "close"] : [];
    const all = [...headers, ...framing, ...closing];
    if (reason) response.writeHead(status, reason, all);
    else response.writeHead(status, all);
    hasBegun = true;
    onBegun();
  };

  return {
    hasBegun: () => hasBegun,
    isOver: () => isOver,
    sendWhole: (head, body) => {
      if (hasBegun || isOver) return;
      const hasBody = head.status !== 204 && head.status !== 304;
      writeHead(head, hasBody ? ["Content-Length", String(body.length)] : []);
      isOver = true;
      response.end(body);
    },
    begin: (head) => {
      if (hasBegun || isOver) return;
      writeHead(head, supportsChunks ? ["Transfer-Encoding", "chunked"] : []);
      response.flushHeaders();
    },
    write: (bytes) => {
      if (isOver || response.write(bytes)) return true;
      onBufferFull();
      return false;
    },
    end: () => {
      if (isOver) return;
      isOver = true;
      response.end();
    },
    break: () => {
      if (isOver) return;
      isOver = true;
      if (!supportsChunks) response.socket?.resetAndDestroy();
      response.destroy();
    },
    onDrain: (listener) => void response.on("drain", listener),
  };
};
