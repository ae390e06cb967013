/**
 * Guards against streams that end as complete although an event is cut or comes from no run.
 * There are three ways to it:
 * - A server is killed within an event of an answer without length or chunks, and its kernel
 *   closes the connection normally. If that counts as the end of the answer, half an event is
 *   passed on as complete: "id: 0\ndata: r token group 0\n\nid: 1\nda".
 * - A connection breaks within the first event of a request that may run again, and the part of
 *   the event is passed on before the first event of the next server:
 *   "id: 0\ndatid: 0\ndata: r token group 0\n\n".
 * - A stream continues at a server that refuses it with a body, and the body is passed on
 *   within the stream: "id: 0\ndata: r token group 0\n\nout of order".
 */
import { describe, expect, it } from "vitest";
import { formatStreamHead } from "@stairgauge/standins";
import type { Line } from "./box.testkit.js";
import {
  askThrough,
  CHUNKED,
  EVENT_COUNT,
  getEvent,
  getEvents,
  refuse,
  REQUEST,
  sendAndReset,
  sendRemaining,
  sendChunks,
  sendUnframed,
  WHOLE,
} from "./scripted.testkit.js";

describe("the end of a stream", () => {
  it("is not a connection closed within an event: the stream continues at another server", async () => {
    const cut = getEvent(0) + getEvent(1).slice(0, 7);
    const { answer, asked } = await askThrough("/verdict/", [
      sendUnframed(cut, true),
      sendRemaining,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(asked).toEqual([undefined, "0"]);
  });

  it("is not a connection closed within an event: a stream that can't be resumed is broken off", async () => {
    const cut = getEvent(0) + getEvent(1).slice(0, 7);
    const { answer } = await askThrough("/draft/", [sendUnframed(cut, true)]);
    expect(answer).toMatchObject({ body: getEvent(0), isWhole: false });
  });

  it("is not a connection closed within the first event", async () => {
    const { answer } = await askThrough("/verdict/", [
      sendUnframed(getEvent(0).slice(0, 9), true),
      sendRemaining,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("is not a connection closed after a whole event if the server's process has exited", async () => {
    const { answer, asked } = await askThrough("/verdict/", [
      sendUnframed(getEvents(0, 2), true),
      sendRemaining,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(asked).toEqual([undefined, "1"]);
  });

  it("is broken off if the server's process has exited and the stream can't be resumed", async () => {
    const { answer } = await askThrough("/draft/", [sendUnframed(getEvents(0, 2), true)]);
    expect(answer).toMatchObject({ body: getEvents(0, 2), isWhole: false });
  });

  it("is a connection closed after a whole event if the server's process still runs", async () => {
    const { answer, asked } = await askThrough("/verdict/", [sendUnframed(WHOLE)]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(asked).toHaveLength(1);
  });
});

describe("events of two servers", () => {
  it("are not mixed if the first server broke off within its first event", async () => {
    const { answer } = await askThrough("/verdict/", [
      sendAndReset(getEvent(0).slice(0, 9)),
      sendRemaining,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("are not followed by the body of an answer that is not a stream", async () => {
    for (const [status, body] of [
      ["500 Internal Server Error", "out of order"],
      ["503 Service Unavailable", '{"reason":"full"}\n\n'],
      ["200 OK", "no stream"],
    ] as const) {
      const { answer } = await askThrough("/verdict/", [
        sendAndReset(getEvent(0)),
        refuse(status, body),
      ]);
      expect(answer).toMatchObject({ body: getEvent(0), isWhole: false });
    }
  });

  it.each([0, 3])(
    "are not joined if the second server begins at event %i instead of the next",
    async (first) => {
      const { answer } = await askThrough("/verdict/", [
        sendAndReset(getEvents(0, 2)),
        sendChunks(getEvents(first, EVENT_COUNT)),
      ]);
      expect(answer).toMatchObject({ body: getEvents(0, 2), isWhole: false });
    },
  );

  it("have the signature of the server whose events are passed on", async () => {
    const { answer } = await askThrough("/verdict/", [
      ({ socket }) => {
        socket.write(
          formatStreamHead(REQUEST, CHUNKED).replace("signature", "lost"),
          () => setTimeout(() => socket.resetAndDestroy(), 20),
        );
      },
      sendRemaining,
    ]);
    expect(answer).toMatchObject({ body: WHOLE, isWhole: true });
    expect(answer.headers["response-signature"]).toBe("signature");
  });
});

describe("the log lines about the end of a stream", () => {
  const cut = getEvent(1).slice(0, 7);
  const findLine = (lines: readonly Line[], event: string) =>
    lines.find((line) => line["event"] === event && line["request"] === REQUEST);

  it.each([
    ["chunks", "by_framing", sendChunks(WHOLE)],
    ["connection", "in_order", sendUnframed(WHOLE)],
  ])(
    "state for a complete stream with framing %s that it was closed %s",
    async (framing, closed, script) => {
      const { lines } = await askThrough("/verdict/", [script]);
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

  it("state where a new run continues and how many bytes the first one left", async () => {
    const { lines } = await askThrough("/verdict/", [
      sendAndReset(getEvent(0) + cut),
      sendRemaining,
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

  it("state how many bytes an attempt without a whole event left", async () => {
    const { lines } = await askThrough("/verdict/", [sendAndReset(cut), sendRemaining]);
    expect(findLine(lines, "retry")).toMatchObject({
      framing: "chunks",
      lastEventId: undefined,
      bytesLeft: cut.length,
    });
  });

  it("report a lost stream, and metrics count it separately from a complete one", async () => {
    const { lines, ports } = await askThrough("/verdict/", [
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
