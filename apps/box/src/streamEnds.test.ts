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
  sendAsked,
  sendChunks,
  sendUnframed,
  WHOLE,
} from "./scripted.testkit.js";

describe("the end of a stream", () => {
  it("is not the end of a connection within an event: the stream goes on elsewhere", async () => {
    const cut = getEvent(0) + getEvent(1).slice(0, 7);
    const { answer, asked } = await askThrough("/verdict/", [
      sendUnframed(cut, true),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(asked).toEqual([undefined, "0"]);
  });

  it("is not the end of a connection within an event: a stream that cannot go on is broken off", async () => {
    const cut = getEvent(0) + getEvent(1).slice(0, 7);
    const { answer } = await askThrough("/draft/", [sendUnframed(cut, true)]);
    expect(answer).toMatchObject({ body: getEvent(0), isWhole: false });
  });

  it("is not the end of a connection within the first event", async () => {
    const { answer } = await askThrough("/verdict/", [
      sendUnframed(getEvent(0).slice(0, 9), true),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("is not the end of a connection behind a whole event whose server's process is gone", async () => {
    const { answer, asked } = await askThrough("/verdict/", [
      sendUnframed(getEvents(0, 2), true),
      sendAsked,
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(asked).toEqual([undefined, "1"]);
  });

  it("is broken off where a stream that cannot go on lost its server's process", async () => {
    const { answer } = await askThrough("/draft/", [sendUnframed(getEvents(0, 2), true)]);
    expect(answer).toMatchObject({ body: getEvents(0, 2), isWhole: false });
  });

  it("is the end of a connection whose server's process is still there", async () => {
    const { answer, asked } = await askThrough("/verdict/", [sendUnframed(WHOLE)]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
    expect(asked).toHaveLength(1);
  });
});

describe("events of two servers", () => {
  it("never meet when the first one broke off within its first event", async () => {
    const { answer } = await askThrough("/verdict/", [
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
      const { answer } = await askThrough("/verdict/", [
        sendAndReset(getEvent(0)),
        refuse(status, body),
      ]);
      expect(answer).toMatchObject({ body: getEvent(0), isWhole: false });
    }
  });

  it.each([0, 3])(
    "never meet when the second one begins at event %i instead of the next",
    async (first) => {
      const { answer } = await askThrough("/verdict/", [
        sendAndReset(getEvents(0, 2)),
        sendChunks(getEvents(first, EVENT_COUNT)),
      ]);
      expect(answer).toMatchObject({ body: getEvents(0, 2), isWhole: false });
    },
  );

  it("carry the signature of the one whose events go out", async () => {
    const { answer } = await askThrough("/verdict/", [
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
    ["chunks", "by_framing", sendChunks(WHOLE)],
    ["connection", "in_order", sendUnframed(WHOLE)],
  ])(
    "say of a whole one by %s that it was closed %s",
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

  it("tell where a new run goes on, and what the first one left", async () => {
    const { lines } = await askThrough("/verdict/", [
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
    const { lines } = await askThrough("/verdict/", [sendAndReset(cut), sendAsked]);
    expect(findLine(lines, "retry")).toMatchObject({
      framing: "chunks",
      lastEventId: undefined,
      bytesLeft: cut.length,
    });
  });

  it("tell of a lost one, and metrics count it apart from a whole one", async () => {
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
