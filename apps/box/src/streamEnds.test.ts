/**
 * A client got a stream that ended as complete after an event that no run had made. The record of it has no line of that
 * request, so it does not tell which of these ways it went; all of them were there.
 * The answer of a server had neither a length nor chunks; its process was killed while it wrote an event, and its kernel
 * closed the connection in order, since no input lay unread. The box took that for the end of the answer and passed the
 * half event on: "id: 0\ndata: r token group 0\n\nid: 1\nda", as complete.
 * A connection broke within the first event of a request that may run again; what it left stood before the first event of the
 * next server: "id: 0\ndatid: 0\ndata: r token group 0\n\n".
 * A stream went on at a server that refused it with a body, which went out in the middle of the stream:
 * "id: 0\ndata: r token group 0\n\nout of order".
 */
import { describe, expect, it } from "vitest";
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
  type Line,
} from "./box.testkit.js";

const REQUEST = "r";
const CHUNKED = "Transfer-Encoding: chunked";
const EVENT_COUNT = 4;

const getEvent = (index: number) => formatEngineEvent(REQUEST, index);
const getEvents = (from: number, to: number) =>
  Array.from({ length: to - from }, (_, at) => getEvent(from + at)).join("");
const WHOLE = getEvents(0, EVENT_COUNT);

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const LAST_CHUNK = "0\r\n\r\n";

/** An answer that ends with its connection, closed in order as the kernel does for a process that was killed. */
const sendUnframed =
  (text: string, isKilled = false): EngineScript =>
  ({ socket, requestId, leaveAddress }) => {
    if (isKilled) leaveAddress();
    socket.end(formatStreamHead(requestId) + text);
  };
const sendChunked =
  (text: string): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED);
    socket.write(head + formatChunk(text) + LAST_CHUNK);
  };
/** The connection is reset once what was written has been read. */
const sendAndReset =
  (text: string): EngineScript =>
  ({ socket, requestId }) => {
    const head = formatStreamHead(requestId, CHUNKED);
    socket.write(head + formatChunk(text), () =>
      setTimeout(() => socket.resetAndDestroy(), 20),
    );
  };
const refuse =
  (status: string, body: string): EngineScript =>
  ({ socket, requestId }) => {
    const head = `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n`;
    socket.write(head + body);
  };
/** Serves what is asked for: the events behind the one that is named. */
const sendAsked: EngineScript = (call) => {
  const from = call.lastEventId === undefined ? 0 : Number(call.lastEventId) + 1;
  sendChunked(getEvents(from, EVENT_COUNT))(call);
};

const startScriptedSite = async (scripts: readonly EngineScript[]) => {
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
  return { ports, lines, engines };
};

const askFor = async (path: string, scripts: readonly EngineScript[]) => {
  const { ports, lines, engines } = await startScriptedSite(scripts);
  const headers = makeGeneration(400, EVENT_COUNT);
  const answer = await ask(ports, { path, id: REQUEST, headers });
  return { answer, lines, engines, ports };
};

describe("the end of a stream", () => {
  it("is not the end of a connection within an event: the stream goes on elsewhere", async () => {
    const cut = getEvent(0) + getEvent(1).slice(0, 7);
    const { answer, engines } = await askFor("/verdict/", [
      sendUnframed(cut, true),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(engines.listCalls().map(({ lastEventId }) => lastEventId)).toEqual([
      undefined,
      "0",
    ]);
  });

  it("is not the end of a connection within an event: a stream that cannot go on is broken off", async () => {
    const cut = getEvent(0) + getEvent(1).slice(0, 7);
    const { answer } = await askFor("/draft/", [sendUnframed(cut, true)]);
    expect(answer).toMatchObject({ body: getEvent(0), isWhole: false });
  });

  it("is not the end of a connection within the first event", async () => {
    const { answer } = await askFor("/verdict/", [
      sendUnframed(getEvent(0).slice(0, 9), true),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("is not the end of a connection behind a whole event whose server's process is gone", async () => {
    const { answer, engines } = await askFor("/verdict/", [
      sendUnframed(getEvents(0, 2), true),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(engines.listCalls().map(({ lastEventId }) => lastEventId)).toEqual([
      undefined,
      "1",
    ]);
  });

  it("is broken off where a stream that cannot go on lost its server's process", async () => {
    const { answer } = await askFor("/draft/", [sendUnframed(getEvents(0, 2), true)]);
    expect(answer).toMatchObject({ body: getEvents(0, 2), isWhole: false });
  });

  it("is the end of a connection whose server's process is still there", async () => {
    const { answer, engines } = await askFor("/verdict/", [sendUnframed(WHOLE)]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(engines.listCalls()).toHaveLength(1);
  });
});

describe("events of two servers", () => {
  it("never meet when the first one broke off within its first event", async () => {
    const { answer } = await askFor("/verdict/", [
      sendAndReset(getEvent(0).slice(0, 9)),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("never meet the body of an answer that is no stream", async () => {
    for (const [status, body] of [
      ["500 Internal Server Error", "out of order"],
      ["503 Service Unavailable", '{"reason":"full"}\n\n'],
      ["200 OK", "no stream"],
    ] as const) {
      const { answer } = await askFor("/verdict/", [
        sendAndReset(getEvent(0)),
        refuse(status, body),
      ]);
      expect(answer).toMatchObject({ body: getEvent(0), isWhole: false });
    }
  });

  it.each([0, 3])(
    "never meet when the second one begins at event %i instead of the next",
    async (first) => {
      const { answer } = await askFor("/verdict/", [
        sendAndReset(getEvents(0, 2)),
        sendChunked(getEvents(first, EVENT_COUNT)),
      ]);
      expect(answer).toMatchObject({ body: getEvents(0, 2), isWhole: false });
    },
  );

  it("carry the signature of the one whose events go out", async () => {
    const { answer } = await askFor("/verdict/", [
      ({ socket }) => {
        socket.write(
          formatStreamHead(REQUEST, CHUNKED).replace("signature", "lost"),
          () => setTimeout(() => socket.resetAndDestroy(), 20),
        );
      },
      sendAsked,
    ]);
    expect(answer).toMatchObject({ body: WHOLE, isWhole: true });
    expect(answer.headers["response-signature"]).toBe("signature");
  });
});

describe("the lines about the end of a stream", () => {
  const cut = getEvent(1).slice(0, 7);
  const findLine = (lines: readonly Line[], event: string) =>
    lines.find((line) => line["event"] === event && line["request"] === REQUEST);

  it.each([
    ["chunks", "by_framing", sendChunked(WHOLE)],
    ["connection", "in_order", sendUnframed(WHOLE)],
  ])(
    "say of a whole one by %s that it was closed %s",
    async (framing, closed, script) => {
      const { lines } = await askFor("/verdict/", [script]);
      expect(findLine(lines, "stream_ended")).toMatchObject({
        framing,
        closed,
        lastEventId: String(EVENT_COUNT - 1),
        bytesLeft: 0,
        continuations: 0,
        serverStanding: "ready",
      });
    },
  );

  it("tell where a new run goes on, and what the first one left", async () => {
    const { lines } = await askFor("/verdict/", [
      sendAndReset(getEvent(0) + cut),
      sendAsked,
    ]);
    const resumed = findLine(lines, "resumed");
    expect(resumed).toMatchObject({
      events: 1,
      framing: "chunks",
      lastEventId: "0",
      bytesLeft: cut.length,
      continuations: 0,
      serverStanding: "ready",
    });
    expect([resumed?.["from"], resumed?.["to"]].sort()).toEqual(["engine-a", "engine-b"]);
    expect(findLine(lines, "stream_ended")).toMatchObject({
      server: resumed?.["to"],
      bytesLeft: 0,
      continuations: 1,
    });
  });

  it("tell what an attempt left that came to no whole event", async () => {
    const { lines } = await askFor("/verdict/", [sendAndReset(cut), sendAsked]);
    expect(findLine(lines, "retry")).toMatchObject({
      framing: "chunks",
      lastEventId: undefined,
      bytesLeft: cut.length,
    });
  });

  it("tell of a lost one, and metrics count it apart from a whole one", async () => {
    const { lines, ports } = await askFor("/verdict/", [
      sendAndReset(getEvent(0) + cut),
      sendAndReset(cut),
    ]);
    expect(findLine(lines, "stream_lost")).toMatchObject({
      events: 1,
      framing: "chunks",
      lastEventId: "0",
      bytesLeft: cut.length,
      continuations: 1,
    });
    const answer = await fetch(`http://127.0.0.1:${ports.metrics}/metrics`);
    const counted = (await answer.text())
      .split("\n")
      .filter((line) => line.startsWith("stairgauge_stream_ends_total{"));
    expect(counted).toEqual([
      'stairgauge_stream_ends_total{framing="chunks",end="lost"} 1',
    ]);
  });
});
