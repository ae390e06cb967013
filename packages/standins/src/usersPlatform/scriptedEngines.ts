/**
 * Stand-in model engines whose answers are written byte by byte. Each generation sent to any of the engines runs the
 * next script, which writes to the raw socket and also ends the stream, for example with a reset.
 */
import { createServer, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import {
  findHeader,
  HEAD_END,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** A generation request as an engine received it, with the connection to answer on. */
export type ScriptedCall = Readonly<{
  socket: Socket;
  requestId: string;
  /** Id of the last event that the client has; undefined for a stream from the start. */
  lastEventId: string | undefined;
  /** Stops listening at the engine's address; open connections stay. */
  stopListening: () => void;
}>;

/** Answers one generation request. */
export type EngineScript = (call: ScriptedCall) => void;

/** A running engine. */
export type ScriptedEngine = Readonly<{ id: string; address: string; close: () => void }>;

/** Engines that share one list of scripts, and the requests that they received. */
export type ScriptedEngines = Readonly<{
  start: (id: string) => Promise<ScriptedEngine>;
  /** Generation requests of all engines, in order of arrival. */
  listCalls: () => readonly ScriptedCall[];
}>;

/** Formats the response head of a stream. `framing` is added as further header lines; without it the response ends with its connection. */
export const formatStreamHead = (requestId: string, framing?: string): string =>
  [
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream",
    `${HEADER.requestId}: ${requestId}`,
    `${HEADER.signature}: signature`,
    ...(framing === undefined ? [] : [framing]),
  ].join("\r\n") + HEAD_END;

/** Creates engines that share their scripts; a generation after the last script has its connection reset. */
export const createScriptedEngines = (
  scripts: readonly EngineScript[],
): ScriptedEngines => {
  const calls: ScriptedCall[] = [];

  const handleRequest = (
    { id, stopListening }: Readonly<{ id: string; stopListening: () => void }>,
    socket: Socket,
    head: string,
  ) => {
    if (head.startsWith(`GET ${SERVER_PATH.report}`)) {
      sendWireJson(socket, IDLE_REPORT);
      return;
    }
    if (head.startsWith(`GET ${HEALTH_PATH}`)) {
      sendWireJson(socket, {}, "200 OK", [`${HEADER.instance}: ${id}`]);
      return;
    }
    const call = {
      socket,
      requestId: findHeader(head, HEADER.requestId) ?? "",
      lastEventId: findHeader(head, HEADER.lastEventId),
      stopListening,
    };
    const runScript = scripts[calls.length];
    calls.push(call);
    if (runScript) runScript(call);
    else socket.resetAndDestroy();
  };

  const start = async (id: string): Promise<ScriptedEngine> => {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      const engine = { id, stopListening: () => server.close() };
      readWireRequests(socket, (head) => handleRequest(engine, socket, head));
    });
    return { id, ...(await listenOnLoopback(server)) };
  };

  return { start, listCalls: () => calls };
};
