/** Test helpers: engines whose streams have neither a length nor chunks, and whose runs can be copied and stopped. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import {
  formatEngineEvent,
  IDLE_REPORT,
  listenOnLoopback,
  readWhole,
  sendJson,
  startUsersSite,
  type UsersSite,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  LENIENT_KEY_REMOVAL,
  makeGeneration,
  startBox,
  waitUntilRead,
  type Answer,
  type Line,
} from "./box.testkit.js";
import type { Box } from "./createBox.js";

const REQUEST = "unframed";
export const EVENT_COUNT = 40;
const EVENT_GAP_MS = 25;
/** The box expects a longer stream, so that it would not let a new one of this kind begin shortly before it stops. */
const EXPECTED_EVENTS = 900;
/** Longer than a busy machine suspends the test; so is the time that the client waits. */
const STOP_SECONDS = 30;
const EVENT_INDEXES = Array.from({ length: EVENT_COUNT }, (_, index) => index);
export const WHOLE = EVENT_INDEXES.map((at) => formatEngineEvent(REQUEST, at)).join("");

/** A call to copy a run, and to stop it first if `isLast`. */
export type CopyCall = Readonly<{ engine: string; isLast: boolean }>;

/** What a test changes of the engines. */
export type UnframedTraits = Readonly<{
  /** Time that a copy takes, in ms. */
  copyMs: number;
  /** Called before the call is carried out. */
  onCopy?: (call: CopyCall) => Promise<void> | void;
}>;

/** Starts an engine that sends a whole event at a time and, after the last one or a stop, closes the connection. */
const startEngine = async (
  id: string,
  { copyMs, onCopy }: UnframedTraits,
  calls: CopyCall[],
) => {
  /** Ends of the runs' streams. */
  const runs = new Map<string, () => void>();
  let breakOff = () => undefined as unknown;

  const stream = (incoming: IncomingMessage, response: ServerResponse) => {
    const last = incoming.headers[HEADER.lastEventId.toLowerCase()];
    let next = last === undefined ? 0 : Number(last) + 1;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      [HEADER.requestId]: REQUEST,
      [HEADER.signature]: "s",
    });
    const end = () => {
      clearInterval(timer);
      runs.delete(REQUEST);
      response.end();
    };
    const timer = setInterval(() => {
      if (next < EVENT_COUNT) response.write(formatEngineEvent(REQUEST, next));
      next += 1;
      if (next >= EVENT_COUNT) end();
    }, EVENT_GAP_MS);
    runs.set(REQUEST, end);
    breakOff = () => response.socket?.resetAndDestroy();
  };
  const copy = async (incoming: IncomingMessage, response: ServerResponse) => {
    const body = (await readWhole(incoming)).toString();
    const { last = false } = JSON.parse(body) as { last?: boolean };
    const call = { engine: id, isLast: last };
    calls.push(call);
    await onCopy?.(call);
    const end = runs.get(REQUEST);
    if (last) end?.();
    if (end) setTimeout(() => sendJson(response, 200, { handle: "h" }), copyMs);
    else sendJson(response, 404, {});
  };
  const server = createServer((incoming, response) => {
    if (incoming.url === SERVER_PATH.move) void copy(incoming, response);
    else if (incoming.url === SERVER_PATH.report) sendJson(response, 200, IDLE_REPORT);
    else if (incoming.method === "POST") stream(incoming, response);
    else sendJson(response, 200, {}, { [HEADER.instance]: id });
  });
  const { address, close } = await listenOnLoopback(server);
  closers.push(close);
  return {
    address,
    breakOff: () => breakOff(),
    endStreams: () => {
      for (const end of [...runs.values()]) end();
    },
    stopListening: close,
  };
};

/** A stream in progress. */
export type UnframedStream = Readonly<{
  site: UsersSite;
  box: Box;
  lines: readonly Line[];
  answered: Promise<Answer>;
  calls: readonly CopyCall[];
  /** The engine that runs it, and its address. */
  engine: string;
  address: string;
  /** Resets the connection of the stream; the run goes on. */
  breakOff: () => void;
  /** Ends the stream before its last event; the engine goes on answering. */
  endStreams: () => void;
  /** Closes the engine's listener and all its connections. */
  stopListening: () => void;
}>;

/**
 * Starts a box with two engines and requests a stream that may run only once. Resolves once a few events have come,
 * with the engine that runs it.
 */
export const beginUnframed = async (traits: UnframedTraits): Promise<UnframedStream> => {
  const calls: CopyCall[] = [];
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const engines = new Map<string, Awaited<ReturnType<typeof startEngine>>>();
  for (const id of ["engine-a", "engine-b"]) {
    const engine = await startEngine(id, traits, calls);
    engines.set(id, engine);
    site.putEngine(id, engine.address);
  }
  const { box, ports, lines } = await startBox(site.store.address, "box-1", {
    ...LENIENT_KEY_REMOVAL,
    stopSeconds: STOP_SECONDS,
  });
  site.putConfiguration();
  await waitUntilRead(lines, engines.size);
  let answered!: ReturnType<typeof ask>;
  await new Promise<void>((resolve) => {
    answered = ask(ports, {
      path: "/draft/1",
      id: REQUEST,
      deadlineMs: STOP_SECONDS * 1_000,
      headers: makeGeneration(300, EXPECTED_EVENTS),
      onData: (body) => {
        if (body.includes("id: 3\n")) resolve();
      },
    });
  });
  const placed = lines.find(({ event }) => event === "placed")!;
  const engine = String(placed["server"]);
  return { site, box, lines, answered, calls, engine, ...engines.get(engine)! };
};
