/**
 * A box that goes on elsewhere with a stream trusted the second server to begin where it was asked to, and where events
 * carry no ids it asked for the wrong place itself: a client got events twice, or missed some, in an answer that ended as
 * complete. A first attempt that broke off before its first event left its head behind: a client got the signature of one
 * server over the events of another. An engine
 * that was killed between two events of an answer without length or chunks ended it in order, and the client's stream
 * with it. And an id that fits in no header threw while the next request was built: the stream
 * hung without a server until its time ran out, and the connection that had been opened for it stayed open.
 */
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  createScriptedEngines,
  startUsersSite,
  type EngineScript,
} from "@stairgauge/standins";
import { ask, closers, makeGeneration, startBox, waitFor } from "./box.testkit.js";

const REQUEST = "r";
const EVENT_COUNT = 4;

const formatHead = (signature: string) =>
  [
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream",
    `Request-Id: ${REQUEST}`,
    `Response-Signature: ${signature}`,
    "Transfer-Encoding: chunked\r\n\r\n",
  ].join("\r\n");
const formatChunk = (text: string) =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const LAST_CHUNK = "0\r\n\r\n";

const getEvent = (index: number) => `id: ${index}\ndata: group ${index}\n\n`;
const getPlainEvent = (index: number) => `data: group ${index}\n\n`;
const joinEvents = (from: number, get = getEvent) =>
  Array.from({ length: EVENT_COUNT - from }, (_, at) => get(from + at)).join("");

const sendWhole =
  (text: string, signature = "a"): EngineScript =>
  ({ socket }) =>
    void socket.write(formatHead(signature) + formatChunk(text) + LAST_CHUNK);
const endOnceRead = (socket: Socket) =>
  void setTimeout(() => socket.resetAndDestroy(), 20);
const breakAfter =
  (text: string, signature = "a"): EngineScript =>
  ({ socket }) =>
    void socket.write(
      formatHead(signature) + (text === "" ? "" : formatChunk(text)),
      () => endOnceRead(socket),
    );

const askThrough = async (
  scripts: readonly EngineScript[],
  headers: Readonly<Record<string, string>> = {},
) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const engines = createScriptedEngines(scripts);
  for (const id of ["engine-a", "engine-b"]) {
    const engine = await engines.start(id);
    closers.push(engine.close);
    site.putEngine(id, engine.address);
  }
  const { ports, lines } = await startBox(site.store.address);
  site.putConfiguration();
  await waitFor(
    () => lines.filter(({ event }) => event === "server_joined").length === 2,
  );
  const answer = await ask(ports, {
    path: "/verdict/",
    id: REQUEST,
    headers: { ...makeGeneration(400, EVENT_COUNT), "Deadline-Ms": "1500", ...headers },
  });
  const asked = engines.listCalls().map(({ lastEventId }) => lastEventId);
  return { answer, asked, lines };
};

describe("a server that goes on with a stream", () => {
  it.each([
    ["from the start", joinEvents(0)],
    ["at the last event that the client has", joinEvents(1)],
    ["one event too late", joinEvents(3)],
  ])("has nothing of it passed on when it begins %s", async (_where, text) => {
    const { answer, asked } = await askThrough([
      breakAfter(getEvent(0) + getEvent(1)),
      sendWhole(text),
    ]);
    expect(asked).toEqual([undefined, "1"]);
    expect(answer).toMatchObject({
      body: getEvent(0) + getEvent(1),
      isWhole: false,
    });
  });

  it("is not asked for a stream without ids, of which it cannot know the place", async () => {
    const { answer } = await askThrough([
      breakAfter(getPlainEvent(0) + getPlainEvent(1)),
      sendWhole(joinEvents(0, getPlainEvent)),
    ]);
    expect(answer).toMatchObject({
      body: getPlainEvent(0) + getPlainEvent(1),
      isWhole: false,
    });
  });

  it("is not asked behind the event that a client named when others without ids have followed", async () => {
    const { answer } = await askThrough(
      [breakAfter(getPlainEvent(2)), sendWhole(getPlainEvent(2) + getPlainEvent(3))],
      { "Last-Event-Id": "1" },
    );
    expect(answer).toMatchObject({ body: getPlainEvent(2), isWhole: false });
  });
});

describe("an answer without length or chunks", () => {
  const formatPlainHead = () =>
    formatHead("a").replace("Transfer-Encoding: chunked\r\n", "");

  it("is not whole between two events when nothing listens any more at its server's address", async () => {
    const { answer } = await askThrough([
      ({ socket, leaveAddress }) => {
        leaveAddress();
        socket.end(formatPlainHead() + getEvent(0) + getEvent(1));
      },
      sendWhole(joinEvents(2)),
    ]);
    expect(answer).toMatchObject({ body: joinEvents(0), isWhole: true });
  });

  it("is whole when only blank lines follow its last event", async () => {
    const { answer } = await askThrough([
      ({ socket }) => void socket.end(`${formatPlainHead()}${joinEvents(0)}\n`),
    ]);
    expect(answer).toMatchObject({ status: 200, isWhole: true });
    expect(answer.body.trimEnd()).toBe(joinEvents(0).trimEnd());
  });
});

describe("the head of a stream", () => {
  it("is that of the server whose events follow it", async () => {
    const { answer } = await askThrough([
      breakAfter("", "first"),
      sendWhole(joinEvents(0), "second"),
    ]);
    expect(answer).toMatchObject({ body: joinEvents(0), isWhole: true });
    expect(answer.headers["response-signature"]).toBe("second");
  });
});

describe("an id that fits in no header", () => {
  let failures: unknown[] = [];
  const recordFailure = (failure: unknown) => void failures.push(failure);
  let others: NodeJS.UnhandledRejectionListener[] = [];
  beforeEach(() => {
    failures = [];
    others = process.listeners("unhandledRejection");
    process.removeAllListeners("unhandledRejection");
    process.on("unhandledRejection", recordFailure);
  });
  afterEach(() => {
    process.off("unhandledRejection", recordFailure);
    for (const onOther of others) process.on("unhandledRejection", onOther);
  });

  it.each(["a\u0001b", "a\u007fb"])("breaks the stream off at once: %j", async (id) => {
    const event = `id: ${id}\ndata: x\n\n`;
    const { answer, lines } = await askThrough([
      breakAfter(event),
      sendWhole(joinEvents(0)),
    ]);
    expect(failures).toEqual([]);
    expect(answer).toMatchObject({ body: event, isWhole: false });
    expect(lines.some(({ event: told }) => told === "stream_lost")).toBe(true);
  });
});
