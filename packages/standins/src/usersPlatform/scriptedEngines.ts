/**
 * Stand-ins of model engines whose answers are written byte by byte: each generation that is sent to any of
 * them takes the next script, and its end is the script's own, as the kernel would send it.
 */
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH } from "./loopback.js";
import {
  findHeader,
  HEAD_END,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** A generation as an engine received it, and the connection to answer on. */
export type ScriptedCall = Readonly<{
  socket: Socket;
  requestId: string;
  /** The event behind which it is to go on, if any. */
  lastEventId: string | undefined;
  /** Ends the engine: nothing listens at its address any more. */
  leaveAddress: () => void;
}>;

/** What an engine does with one generation. */
export type EngineScript = (call: ScriptedCall) => void;

/** An engine. */
export type ScriptedEngine = Readonly<{ id: string; address: string; close: () => void }>;

/** Engines and what they were sent. */
export type ScriptedEngines = Readonly<{
  start: (id: string) => Promise<ScriptedEngine>;
  /** Generations in the order in which they came. */
  listCalls: () => readonly ScriptedCall[];
}>;

const LOOPBACK = "127.0.0.1";

/** Head of a stream's answer; `framing` is one more header line, or none for an answer that ends with its connection. */
export const formatStreamHead = (requestId: string, framing?: string): string =>
  [
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream",
    `${HEADER.requestId}: ${requestId}`,
    `${HEADER.signature}: signature`,
    ...(framing === undefined ? [] : [framing]),
  ].join("\r\n") + HEAD_END;

/** Creates engines that share their scripts; a generation beyond the last script is reset. */
export const createScriptedEngines = (
  scripts: readonly EngineScript[],
): ScriptedEngines => {
  const calls: ScriptedCall[] = [];

  const takeRequest = (
    { id, leaveAddress }: Readonly<{ id: string; leaveAddress: () => void }>,
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
      leaveAddress,
    };
    const runScript = scripts[calls.length];
    calls.push(call);
    if (runScript) runScript(call);
    else socket.resetAndDestroy();
  };

  const start = async (id: string): Promise<ScriptedEngine> => {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      const engine = { id, leaveAddress: () => server.close() };
      readWireRequests(socket, (head) => takeRequest(engine, socket, head));
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    const { port } = server.address() as AddressInfo;
    return { id, address: `${LOOPBACK}:${port}`, close: () => server.close() };
  };

  return { start, listCalls: () => calls };
};
