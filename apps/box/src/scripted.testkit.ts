/** A box before servers whose answers are written byte by byte. */
import {
  createScriptedEngines,
  formatEngineEvent,
  formatStreamHead,
  startUsersSite,
  type EngineScript,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  startBox,
  waitFor,
  type Ask,
} from "./box.testkit.js";

export const REQUEST = "r";
export const EVENT_COUNT = 4;
const CHUNKED = "Transfer-Encoding: chunked";
const LAST_CHUNK = "0\r\n\r\n";

export const getEvents = (from: number, to: number) =>
  Array.from({ length: to - from }, (_, at) =>
    formatEngineEvent(REQUEST, from + at),
  ).join("");
export const WHOLE = getEvents(0, EVENT_COUNT);
/** One whole event and the begin of the next. */
export const CUT = getEvents(0, 1) + getEvents(1, 2).slice(0, 7);

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Events in chunks, with the last chunk behind them. */
export const sendChunks =
  (...texts: readonly string[]): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED);
    socket.write(head + texts.map(formatChunk).join("") + LAST_CHUNK);
  };
/** The connection is reset once what was written has been read. */
export const sendAndReset =
  (text: string): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED);
    socket.write(head + formatChunk(text), () =>
      setTimeout(() => socket.resetAndDestroy(), 20),
    );
  };
/** An answer without a length or chunks, whose process ends right behind it. */
export const sendAndLeave =
  (status: string, body: string, more = ""): EngineScript =>
  ({ socket, requestId, leaveAddress }) => {
    leaveAddress();
    const head = `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n${more}\r\n`;
    socket.end(head + body);
  };

/** Two servers, engines or plain ones, that take the scripts in turn. */
export const startScriptedSite = async (
  scripts: readonly EngineScript[],
  service: "writers" | "pages",
) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const engines = createScriptedEngines(scripts);
  for (const id of ["server-a", "server-b"]) {
    const { address, close } = await engines.start(id);
    closers.push(close);
    site.store.put("servers", id, {
      service,
      address,
      zone: "hall-a",
      version: "v1",
      slots: 6,
      state: "ready",
      sequence: 1,
    });
  }
  const { ports, lines } = await startBox(site.store.address);
  site.putConfiguration();
  await waitFor(
    () => lines.filter(({ event }) => event === "server_joined").length === 2,
  );
  return { ports, lines, listCalls: engines.listCalls };
};

/** Asks for a stream. */
export const askStream = async (
  path: string,
  scripts: readonly EngineScript[],
  more: Readonly<Record<string, string>> = {},
) => {
  const { ports } = await startScriptedSite(scripts, "writers");
  const headers = { ...makeGeneration(400, EVENT_COUNT), ...more };
  return ask(ports, { path, id: REQUEST, headers });
};

/** Asks a plain service. */
export const askPlain = async (
  changes: Partial<Ask>,
  scripts: readonly EngineScript[],
) => {
  const { ports } = await startScriptedSite(scripts, "pages");
  return ask(ports, { path: "/once/", id: REQUEST, ...changes });
};
