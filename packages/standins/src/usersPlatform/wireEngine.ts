/**
 * Stand-in model engine that writes to raw sockets and runs as a separate process. It holds each stream at a chosen position,
 * so that a test can end the stream, the connection or the process exactly there.
 */
import { createServer, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import { formatStreamHead } from "./scriptedEngines.js";
import { formatEngineEvent } from "./usersEngine.js";
import {
  findHeader,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** Where an engine reports its start time besides its load report: in a header or the body of its health answer, or nowhere else. */
export type StartTimeLocation = "header" | "body" | "report";

/** How the end of an answer's body is marked. */
export type WireFraming = "connection" | "chunks" | "length";

/** Where a stream is held: after a whole event, within an event, before an event's last byte, within the first event, or after the last. */
export type WireCut = "boundary" | "event" | "line" | "first" | "end";

/** What happens to a held stream on release: its connection is closed, or reset, or its body ends as its framing requires. */
export type WireEnd = "close" | "reset" | "finish";

/** Options of one stream. Requests carry them as query parameters, under these names. */
export type WireStreamOptions = Readonly<{
  /** Number of events of the whole stream. */
  events: number;
  framing: WireFraming;
  cut: WireCut;
  end: WireEnd;
  /** Whether lines end with a carriage return before the line feed. */
  hasCarriageReturns: boolean;
  /** Whether the engine leaves the request's body unread. */
  isBodyLeft: boolean;
}>;

/** Options of `startWireEngine`. */
export type WireEngineOptions = Readonly<{
  id: string;
  /** Loopback port; 0 for any free one. */
  port: number;
  /** Whether new streams are held as their requests specify; otherwise all streams are sent whole, in chunks. */
  holds: boolean;
  /** Start time in Unix milliseconds, and where it is reported. Undefined for servers of older platforms, which report none. */
  startTime?: Readonly<{ at: number; reportedIn: StartTimeLocation }> | undefined;
  /** Called when a stream is held and all its bytes are handed to the kernel. */
  onHeld: (request: string) => void;
}>;

/** A running engine. */
export type WireEngine = Readonly<{
  /** IP:PORT. */
  address: string;
  /** Releases all held streams; each ends as its options say. */
  releaseHeld: () => void;
  /** Stops listening; open connections stay. */
  stopListening: () => void;
}>;

const EVENTS_BEFORE_CUT = 2;
const LAST_CHUNK = "0\r\n\r\n";

/** How many bytes of an event are written before a cut within it. */
const CUT_OFFSETS: Readonly<Record<Exclude<WireCut, "end">, (event: string) => number>> =
  {
    boundary: () => 0,
    event: (event) => event.length >> 1,
    line: (event) => event.length - 1,
    first: (event) => event.length >> 1,
  };

const formatBody = (framing: WireFraming, parts: readonly string[]): string =>
  framing === "chunks"
    ? parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join("")
    : parts.join("");

const formatFraming = (
  framing: WireFraming,
  events: readonly string[],
): string | undefined => {
  if (framing === "chunks") return "Transfer-Encoding: chunked";
  return framing === "length" ? `Content-Length: ${events.join("").length}` : undefined;
};

/** Returns the events to write before the stream is held; the last may be a part of one. */
const selectEvents = (events: readonly string[], cut: WireCut): readonly string[] => {
  if (cut === "end") return events;
  const whole = cut === "first" ? 0 : EVENTS_BEFORE_CUT;
  const next = events[whole] ?? "";
  const part = next.slice(0, CUT_OFFSETS[cut](next));
  return [...events.slice(0, whole), ...(part === "" ? [] : [part])];
};

/** Formats stream options as the query of a request. */
export const formatStreamQuery = (streamOptions: WireStreamOptions): string =>
  new URLSearchParams(
    Object.entries(streamOptions).map(([name, value]): [string, string] => [
      name,
      String(value),
    ]),
  ).toString();

const parseStreamOptions = (head: string): WireStreamOptions => {
  const target = head.split(" ", 2)[1] ?? "";
  const query = new URLSearchParams(target.split("?")[1]);
  return {
    events: Number(query.get("events") ?? 0),
    framing: (query.get("framing") ?? "chunks") as WireFraming,
    cut: (query.get("cut") ?? "end") as WireCut,
    end: (query.get("end") ?? "close") as WireEnd,
    hasCarriageReturns: query.get("hasCarriageReturns") === "true",
    isBodyLeft: query.get("isBodyLeft") === "true",
  };
};

const listEvents = (
  head: string,
  request: string,
  streamOptions: WireStreamOptions,
): readonly string[] => {
  const from = Number(findHeader(head, HEADER.lastEventId) ?? -1) + 1;
  return Array.from({ length: Math.max(0, streamOptions.events - from) }, (_, at) => {
    const event = formatEngineEvent(request, from + at);
    return streamOptions.hasCarriageReturns ? event.replaceAll("\n", "\r\n") : event;
  });
};

const finishStream = (socket: Socket, framing: WireFraming) => {
  if (framing === "chunks") socket.write(LAST_CHUNK);
  if (framing === "connection") socket.end();
};

const endStream = (socket: Socket, { end, framing }: WireStreamOptions) => {
  if (end === "finish") finishStream(socket, framing);
  else if (end === "reset") socket.resetAndDestroy();
  else socket.end();
};

/** Starts an engine on loopback. */
export const startWireEngine = async (
  options: WireEngineOptions,
): Promise<WireEngine> => {
  const { id, holds, startTime, onHeld } = options;
  const bornField = startTime ? { born: startTime.at } : {};
  const held = new Map<string, () => void>();

  const startRun = (socket: Socket, head: string) => {
    const request = findHeader(head, HEADER.requestId) ?? "";
    const streamOptions = parseStreamOptions(head);
    const events = listEvents(head, request, streamOptions);
    if (!holds) {
      const answerHead = formatStreamHead(request, formatFraming("chunks", events));
      socket.write(answerHead + formatBody("chunks", events) + LAST_CHUNK);
      return;
    }
    const { framing, cut } = streamOptions;
    const answerHead = formatStreamHead(request, formatFraming(framing, events));
    const written = formatBody(framing, selectEvents(events, cut));
    socket.write(answerHead + written, () => {
      held.set(request, () => endStream(socket, streamOptions));
      onHeld(request);
    });
  };

  /** Answers a call to copy a run's memory. The copy is complete at once; a call with `last` releases the run's held stream. */
  const handleMove = (socket: Socket, body: string) => {
    const { id: request, last } = JSON.parse(body) as { id: string; last?: boolean };
    const run = held.get(request);
    if (run && last) {
      held.delete(request);
      run();
    }
    if (run) sendWireJson(socket, { handle: request, made: EVENTS_BEFORE_CUT });
    else sendWireJson(socket, {}, "404 Not Found");
  };

  const handleRequest = (socket: Socket, head: string, body: string) => {
    const [method = "", path = ""] = head.split(" ", 2);
    const expected = findHeader(head, HEADER.expectInstance);
    const instanceHeader = [`${HEADER.instance}: ${id}`];
    const bornHeader =
      startTime?.reportedIn === "header" ? [`${HEADER.born}: ${startTime.at}`] : [];
    const healthBody = startTime?.reportedIn === "body" ? bornField : {};
    if (path === SERVER_PATH.report)
      sendWireJson(socket, { ...IDLE_REPORT, ...bornField });
    else if (path === HEALTH_PATH)
      sendWireJson(socket, healthBody, "200 OK", [...instanceHeader, ...bornHeader]);
    else if (path === SERVER_PATH.move) handleMove(socket, body);
    else if (method === "DELETE") sendWireJson(socket, {});
    else if (expected !== undefined && expected !== id)
      sendWireJson(socket, {}, "421 Misdirected Request", instanceHeader);
    else startRun(socket, head);
  };

  const server = createServer({ allowHalfOpen: true }, (socket) =>
    readWireRequests(
      socket,
      (head, body) => handleRequest(socket, head, body),
      (head) => holds && parseStreamOptions(head).isBodyLeft,
    ),
  );
  const { address } = await listenOnLoopback(server, options.port);
  return {
    address,
    releaseHeld: () => {
      for (const end of held.values()) end();
      held.clear();
    },
    stopListening: () => server.close(),
  };
};
