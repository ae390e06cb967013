/** Complete, valid answers for stand-ins that write to raw sockets. */
import type { Socket } from "node:net";
import { HEADER } from "@stairgauge/platform";
import { formatStreamHead } from "./scriptedEngines.js";
import { formatEngineEvent } from "./usersEngine.js";
import { HEAD_END } from "./wireRequests.js";

/** Number of events of a whole stream. */
const STREAM_EVENTS = 4;

const CHUNKED = "Transfer-Encoding: chunked";

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Range of a stream's events: `from` is included, `to` is not. */
export type EventRange = Readonly<{ from: number; to: number }>;

/** Where to send an answer, and the id of the request that it answers. */
export type RawAnswer = Readonly<{
  socket: Socket;
  /** Request id. */
  request: string;
  /** Further header lines, without line ends. */
  headerLines?: readonly string[];
}>;

/** Sends the answer to a plain request. */
export const sendPlainAnswer = ({
  socket,
  request,
  headerLines = [],
}: RawAnswer): void => {
  const body = `answer to ${request}`;
  const head = [
    "HTTP/1.1 200 OK",
    `${HEADER.requestId}: ${request}`,
    `${HEADER.signature}: signature`,
    `Content-Length: ${body.length}`,
    ...headerLines,
  ];
  socket.write(head.join("\r\n") + HEAD_END + body);
};

/** Refuses a request with 503 and the header that states that it did not run. */
export const sendRefusal = ({ socket, request, headerLines = [] }: RawAnswer): void => {
  const head = [
    "HTTP/1.1 503 Service Unavailable",
    `${HEADER.requestId}: ${request}`,
    `${HEADER.notRun}: 1`,
    "Content-Length: 0",
    ...headerLines,
  ];
  socket.write(head.join("\r\n") + HEAD_END);
};

/** Sends a stream's head and a range of its events, and leaves the stream open. */
export const sendStreamEvents = (
  { socket, request, headerLines = [] }: RawAnswer,
  { from, to }: EventRange,
): void => {
  socket.write(formatStreamHead(request, [CHUNKED, ...headerLines].join("\r\n")));
  for (let at = from; at < to; at += 1)
    socket.write(formatChunk(formatEngineEvent(request, at)));
};

/** Sends a stream from event `from` to its end. */
export const sendWholeStream = (answer: RawAnswer, from: number): void => {
  sendStreamEvents(answer, { from, to: STREAM_EVENTS });
  answer.socket.write("0\r\n\r\n");
};
