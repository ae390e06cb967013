/** Sound answers of stand-ins that write them byte by byte. */
import type { Socket } from "node:net";
import { HEADER } from "@stairgauge/platform";
import { formatStreamHead } from "./scriptedEngines.js";
import { formatEngineEvent } from "./usersEngine.js";
import { HEAD_END } from "./wireRequests.js";

/** Events of a sound stream. */
const SOUND_EVENTS = 4;

const CHUNKED = "Transfer-Encoding: chunked";

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Which events of a stream are sent: from `from`, up to `to` without it. */
export type EventRange = Readonly<{ from: number; to: number }>;

/** What is answered, and where; `more` are whole header lines. */
export type SoundAnswer = Readonly<{
  socket: Socket;
  request: string;
  more?: readonly string[];
}>;

/** Answers a plain request. */
export const sendPlainAnswer = ({ socket, request, more = [] }: SoundAnswer): void => {
  const body = `answer to ${request}`;
  const head = [
    "HTTP/1.1 200 OK",
    `${HEADER.requestId}: ${request}`,
    `${HEADER.signature}: signature`,
    `Content-Length: ${body.length}`,
    ...more,
  ];
  socket.write(head.join("\r\n") + HEAD_END + body);
};

/** Refuses a request, which has not run and never will. */
export const sendRefusal = ({ socket, request, more = [] }: SoundAnswer): void => {
  const head = [
    "HTTP/1.1 503 Service Unavailable",
    `${HEADER.requestId}: ${request}`,
    `${HEADER.notRun}: 1`,
    "Content-Length: 0",
    ...more,
  ];
  socket.write(head.join("\r\n") + HEAD_END);
};

/** Begins a stream, which may go on. */
export const sendStreamEvents = (
  { socket, request, more = [] }: SoundAnswer,
  { from, to }: EventRange,
): void => {
  socket.write(formatStreamHead(request, [CHUNKED, ...more].join("\r\n")));
  for (let at = from; at < to; at += 1)
    socket.write(formatChunk(formatEngineEvent(request, at)));
};

/** Sends a stream to its end, from one of its events on. */
export const sendWholeStream = (answer: SoundAnswer, from: number): void => {
  sendStreamEvents(answer, { from, to: SOUND_EVENTS });
  answer.socket.write("0\r\n\r\n");
};
