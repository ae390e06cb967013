/** Requests of a raw connection, for stand-ins that write their answers byte by byte. */
import type { Socket } from "node:net";

/** Ends a head on the wire. */
export const HEAD_END = "\r\n\r\n";

/** Value of the first header of that name, if any. */
export const findHeader = (head: string, name: string): string | undefined =>
  head
    .split("\r\n")
    .find((line) => line.toLowerCase().startsWith(`${name.toLowerCase()}:`))
    ?.slice(name.length + 1)
    .trim();

/** Gives the head and body of each request that has come whole; one whose body is left unread, as soon as its head has come. */
export const readWireRequests = (
  socket: Socket,
  onRequest: (head: string, body: string) => void,
  isBodyLeft: (head: string) => boolean = () => false,
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
    const isLeft = length > 0 && isBodyLeft(head);
    if (!isLeft && text.length < end + HEAD_END.length + length) return;
    const body = text.slice(end + HEAD_END.length);
    text = "";
    if (isLeft) socket.pause();
    onRequest(head, body);
  });
};

/** Report of an engine at which nothing runs. */
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

/** Answers with JSON; `headers` are whole lines. */
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
