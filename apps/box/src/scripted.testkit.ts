/** Test helpers that start a box in front of servers whose answers are written byte by byte. */
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
  waitUntilRead,
  LENIENT_KEY_REMOVAL,
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
/** One complete event and the start of the next. */
export const CUT = getEvents(0, 1) + getEvents(1, 2).slice(0, 7);

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Sends events in chunks, and the last chunk. */
export const sendChunks =
  (...texts: readonly string[]): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED);
    socket.write(head + texts.map(formatChunk).join("") + LAST_CHUNK);
  };
/** Sends the events after the Last-Event-Id of the request, or all. */
export const sendRemaining: EngineScript = (call) => {
  const from = call.lastEventId === undefined ? 0 : Number(call.lastEventId) + 1;
  sendChunks(getEvents(from, EVENT_COUNT))(call);
};
/** Sends the text and resets the connection once it should have been read. */
export const sendAndReset =
  (text: string, signature = "signature"): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED).replace("signature", signature);
    socket.write(head + (text === "" ? "" : formatChunk(text)), () =>
      setTimeout(() => socket.resetAndDestroy(), 20),
    );
  };
/**
 * Sends a stream that ends with its connection. The connection closes normally, as the kernel
 * also does for a killed process.
 */
export const sendUnframed =
  (text: string, isKilled = false): EngineScript =>
  ({ socket, requestId, stopListening }) => {
    if (isKilled) stopListening();
    socket.end(formatStreamHead(requestId) + text);
  };
/** Sends an answer that is not a stream. */
export const refuse =
  (status: string, body: string): EngineScript =>
  ({ socket, requestId }) => {
    const head = `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n`;
    socket.write(head + body);
  };
/**
 * Sends an answer without length or chunks, and closes the listening socket with it as an
 * exiting process does.
 */
export const sendAndLeave =
  (status: string, body: string, extraHeaders = ""): EngineScript =>
  ({ socket, requestId, stopListening }) => {
    stopListening();
    const head = `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n${extraHeaders}\r\n`;
    socket.end(head + body);
  };

/** Starts a box and two servers, engines or plain ones, that run the scripts in order. */
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
  const { ports, lines } = await startBox(
    site.store.address,
    "box-1",
    LENIENT_KEY_REMOVAL,
  );
  site.putConfiguration();
  await waitUntilRead(lines, 2);
  return { ports, lines, listCalls: engines.listCalls };
};

/**
 * Requests a stream. Returns the client's answer, the Last-Event-Id of each request that the
 * box sent, and the box's log lines.
 */
export const askThrough = async (
  path: string,
  scripts: readonly EngineScript[],
  extraHeaders: Readonly<Record<string, string>> = {},
) => {
  const { ports, lines, listCalls } = await startScriptedSite(scripts, "writers");
  const headers = { ...makeGeneration(400, EVENT_COUNT), ...extraHeaders };
  const answer = await ask(ports, { path, id: REQUEST, headers });
  const asked = listCalls().map(({ lastEventId }) => lastEventId);
  return { answer, asked, lines, ports };
};

/** Requests a stream and returns the client's answer. */
export const askStream = async (...args: Parameters<typeof askThrough>) =>
  (await askThrough(...args)).answer;

/** Sends a request to a plain service. */
export const askPlain = async (
  changes: Partial<Ask>,
  scripts: readonly EngineScript[],
) => {
  const { ports } = await startScriptedSite(scripts, "pages");
  return ask(ports, { path: "/once/", id: REQUEST, ...changes });
};
