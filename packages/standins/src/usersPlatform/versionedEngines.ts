/**
 * Stand-in model engines whose software has several versions. Each event of a stream names the version that made it, so
 * that a test can see streams of two versions. An engine continues any stream after the stated event without checking
 * who began it, and can end and start again at its address as another version.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import {
  HEALTH_PATH,
  listenOnLoopback,
  readWhole,
  sendJson,
  type Listening,
} from "./loopback.js";
import { reservePort } from "./reservePort.js";
import { IDLE_REPORT } from "./wireRequests.js";

/** One start of an engine. */
export type EngineStart = Readonly<{ id: string; address: string; version: string }>;

/** Options of `startVersionedEngines`. */
export type VersionedEnginesOptions = Readonly<{
  /** Version of each engine. */
  versions: readonly string[];
  /** Events of a whole stream, and the time between two of them. */
  events: number;
  gapMs: number;
  putEntry: (start: EngineStart) => void;
  dropEntry: (id: string) => void;
}>;

/** The running engines. */
export type VersionedEngines = Readonly<{
  /** Lists the present starts of all engines. */
  list: () => readonly EngineStart[];
  /** Ends the engine and all its streams; it starts again at its address after a while, as the given version. */
  end: (id: string, backAs: string) => Promise<void>;
  close: () => void;
}>;

/** Time from an engine's end until it has started again. */
const RESTART_MS = 150;

/** Version that made an event; undefined if the text holds none. */
export const findEventVersion = (event: string): string | undefined =>
  /data: \S+ (\S+)/.exec(event)?.[1];

const formatEvent = (request: string, version: string, index: number) =>
  `id: ${index}\ndata: ${request} ${version}\n\n`;

/** Starts the engines on loopback and writes their entries. */
export const startVersionedEngines = async (
  options: VersionedEnginesOptions,
): Promise<VersionedEngines> => {
  const { versions, events, gapMs, putEntry, dropEntry } = options;
  const starts = new Map<string, EngineStart>();
  const listeners = new Map<string, Listening>();
  const ports = await Promise.all(versions.map(reservePort));
  let started = 0;
  let isClosed = false;

  const streamEvents = (
    incoming: IncomingMessage,
    response: ServerResponse,
    { version }: EngineStart,
  ) => {
    const get = (name: string) => incoming.headers[name.toLowerCase()];
    const request = String(get(HEADER.requestId));
    let index = Number(get(HEADER.lastEventId) ?? -1) + 1;
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      [HEADER.requestId]: request,
      [HEADER.signature]: `signature-${version}`,
    });
    // A client may have received the whole stream before it takes it up.
    if (index >= events) {
      response.end();
      return;
    }
    const timer = setInterval(() => {
      response.write(formatEvent(request, version, index));
      index += 1;
      if (index < events) return;
      clearInterval(timer);
      response.end();
    }, gapMs);
    response.once("close", () => clearInterval(timer));
  };
  const handle = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    start: EngineStart,
  ) => {
    if (incoming.url === SERVER_PATH.report) {
      sendJson(response, 200, IDLE_REPORT);
      return;
    }
    const expected = incoming.headers[HEADER.expectInstance.toLowerCase()];
    const headers = { [HEADER.instance]: start.id };
    await readWhole(incoming);
    if (expected !== undefined && expected !== start.id)
      sendJson(response, 421, {}, headers);
    else if (incoming.url === HEALTH_PATH) sendJson(response, 200, {}, headers);
    else streamEvents(incoming, response, start);
  };

  const startEngine = async (version: string, port: number) => {
    started += 1;
    const id = `engine-${started}`;
    const server = createServer();
    const listening = await listenOnLoopback(server, port);
    const start = { id, address: listening.address, version };
    server.on("request", (incoming, response) => void handle(incoming, response, start));
    starts.set(id, start);
    listeners.set(id, listening);
    putEntry(start);
  };
  const end = async (id: string, backAs: string) => {
    const { address } = starts.get(id)!;
    starts.delete(id);
    listeners.get(id)!.close();
    listeners.delete(id);
    await new Promise((resolve) => setTimeout(resolve, RESTART_MS));
    if (isClosed) return;
    dropEntry(id);
    await startEngine(backAs, Number(address.split(":")[1]));
  };
  for (const [i, version] of versions.entries())
    await startEngine(version, ports[i]!.port);

  return {
    list: () => [...starts.values()],
    end,
    close: () => {
      isClosed = true;
      for (const listening of listeners.values()) listening.close();
      for (const { release } of ports) release();
    },
  };
};
