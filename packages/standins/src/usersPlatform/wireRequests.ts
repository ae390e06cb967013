/** HTTP/1.1 on raw sockets, for stand-ins that write their answers byte by byte. */
import type { Socket } from "node:net";

/** Ends the head of an HTTP message. */
export const HEAD_END = "\r\n\r\n";

/** Returns the value of the first header with this name, or undefined. */
export const findHeader = (head: string, name: string): string | undefined =>
  head
    .split("\r\n")
    .find((line) => line.toLowerCase().startsWith(`${name.toLowerCase()}:`))
    ?.slice(name.length + 1)
    .trim();

/**
 * Calls `onRequest` with the head and body of each request once it has arrived completely. If `shouldSkipBody` returns true for
 * a request with a body, the call comes as soon as the head has arrived, and reading from the socket stops.
 */
export const readWireRequests = (
  socket: Socket,
  onRequest: (head: string, body: string) => void,
  shouldSkipBody: (head: string) => boolean = () => false,
): void => {
  let text = "";
  socket.on("error", () => undefined);
  socket.on("end", () => socket.end());
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
    const end = text.indexOf(HEAD_END);
    if (end < 0) return;
    const head = text.slice(0, end);
    const length = Number(findHeader(head, "Content-Length") ?? 0);
    const isBodySkipped = length > 0 && shouldSkipBody(head);
    if (!isBodySkipped && text.length < end + HEAD_END.length + length) return;
    const body = text.slice(end + HEAD_END.length);
    text = "";
    if (isBodySkipped) socket.pause();
    onRequest(head, body);
  });
};

/** Load report of an idle engine. */
export const IDLE_REPORT = {
  stage: "dual",
  state: "ready",
  models: [],
  busy: false,
  sequence: 1,
  waiting: 0,
  running: 0,
  kvUsed: 0,
  kvTotal: 34_000,
  handles: 0,
  runs: [],
} as const;

/** Sends a JSON answer; `headers` are whole header lines without line ends. */
export const sendWireJson = (
  socket: Socket,
  body: unknown,
  status = "200 OK",
  headers: readonly string[] = [],
): void => {
  const text = JSON.stringify(body);
  const head = [
    `HTTP/1.1 ${status}`,
    "Content-Type: application/json",
    `Content-Length: ${Buffer.byteLength(text)}`,
    ...headers,
  ];
  socket.write(head.join("\r\n") + HEAD_END + text);
};
