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
  waitUntilKnown,
  KEEPS_KEYS,
  type Ask,
} from "./box.testkit.js";

export const REQUEST = "r";
export const EVENT_COUNT = 4;
export const CHUNKED = "Transfer-Encoding: chunked";
const LAST_CHUNK = "0\r\n\r\n";

export const getEvent = (index: number) => formatEngineEvent(REQUEST, index);
export const getEvents = (from: number, to: number) =>
  Array.from({ length: to - from }, (_, at) => getEvent(from + at)).join("");
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
/** Serves what is asked for: the events behind the one that is named. */
export const sendAsked: EngineScript = (call) => {
  const from = call.lastEventId === undefined ? 0 : Number(call.lastEventId) + 1;
  sendChunks(getEvents(from, EVENT_COUNT))(call);
};
/** The connection is reset once what was written has been read. */
export const sendAndReset =
  (text: string, signature = "signature"): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED).replace("signature", signature);
    socket.write(head + (text === "" ? "" : formatChunk(text)), () =>
      setTimeout(() => socket.resetAndDestroy(), 20),
    );
  };
/** A stream that ends with its connection, closed in order as the kernel does for a process that was killed. */
export const sendUnframed =
  (text: string, isKilled = false): EngineScript =>
  ({ socket, requestId, leaveAddress }) => {
    if (isKilled) leaveAddress();
    socket.end(formatStreamHead(requestId) + text);
  };
/** An answer that is no stream. */
export const refuse =
  (status: string, body: string): EngineScript =>
  ({ socket, requestId }) => {
    const head = `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n`;
    socket.write(head + body);
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
  for (const id of ["engine-a", "engine-b"]) {
    const { address, close } = await engines.start(id);
    closers.push(close);
    if (service === "writers") site.putEngine(id, address);
    else site.putService(id, address);
  }
  const { ports, lines } = await startBox(site.store.address, "box-1", KEEPS_KEYS);
  site.putConfiguration();
  await waitUntilKnown(lines, 2);
  return { ports, lines, listCalls: engines.listCalls };
};

/** Asks for a stream; gives what the client got beside what the box wrote and asked. */
export const askThrough = async (
  path: string,
  scripts: readonly EngineScript[],
  more: Readonly<Record<string, string>> = {},
) => {
  const { ports, lines, listCalls } = await startScriptedSite(scripts, "writers");
  const headers = { ...makeGeneration(400, EVENT_COUNT), ...more };
  const answer = await ask(ports, { path, id: REQUEST, headers });
  const asked = listCalls().map(({ lastEventId }) => lastEventId);
  return { answer, asked, lines, ports };
};

/** Asks for a stream. */
export const askStream = async (...args: Parameters<typeof askThrough>) =>
  (await askThrough(...args)).answer;

/** Asks a plain service. */
export const askPlain = async (
  changes: Partial<Ask>,
  scripts: readonly EngineScript[],
) => {
  const { ports } = await startScriptedSite(scripts, "pages");
  return ask(ports, { path: "/once/", id: REQUEST, ...changes });
};
