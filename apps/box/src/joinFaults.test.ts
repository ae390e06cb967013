/**
 * A box that goes on elsewhere with a stream trusted the second server to begin where it was asked to, and where events
 * carry no ids it asked for the wrong place itself: a client got events twice, or missed some, in an answer that ended as
 * complete. A first attempt that broke off before its first event left its head behind: a client got the signature of one
 * server over the events of another. An engine
 * that was killed between two events of an answer without length or chunks ended it in order, and the client's stream
 * with it. And an id that fits in no header threw while the next request was built: the stream
 * hung without a server until its time ran out, and the connection that had been opened for it stayed open.
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { EngineScript } from "@stairgauge/standins";
import {
  askThrough,
  EVENT_COUNT,
  getEvent,
  sendAndReset,
  sendChunks,
  sendUnframed,
} from "./scripted.testkit.js";

/** A box that waits for a server that never comes ends the request by then. */
const PATIENCE = { "Deadline-Ms": "1500" };

const askThroughBox = (
  scripts: readonly EngineScript[],
  more: Readonly<Record<string, string>> = {},
) => askThrough("/verdict/", scripts, { ...PATIENCE, ...more });

const getPlainEvent = (index: number) => `data: group ${index}\n\n`;
const joinEvents = (from: number, get = getEvent) =>
  Array.from({ length: EVENT_COUNT - from }, (_, at) => get(from + at)).join("");

describe("a server that goes on with a stream", () => {
  it.each([
    ["from the start", joinEvents(0)],
    ["at the last event that the client has", joinEvents(1)],
    ["one event too late", joinEvents(3)],
  ])("has nothing of it passed on when it begins %s", async (_where, text) => {
    const { answer, asked } = await askThroughBox([
      sendAndReset(getEvent(0) + getEvent(1)),
      sendChunks(text),
    ]);
    expect(asked).toEqual([undefined, "1"]);
    expect(answer).toMatchObject({
      body: getEvent(0) + getEvent(1),
      isWhole: false,
    });
  });

  it("is not asked for a stream without ids, of which it cannot know the place", async () => {
    const { answer } = await askThroughBox([
      sendAndReset(getPlainEvent(0) + getPlainEvent(1)),
      sendChunks(joinEvents(0, getPlainEvent)),
    ]);
    expect(answer).toMatchObject({
      body: getPlainEvent(0) + getPlainEvent(1),
      isWhole: false,
    });
  });

  it("is not asked behind the event that a client named when others without ids have followed", async () => {
    const { answer } = await askThroughBox(
      [sendAndReset(getPlainEvent(2)), sendChunks(getPlainEvent(2) + getPlainEvent(3))],
      { "Last-Event-Id": "1" },
    );
    expect(answer).toMatchObject({ body: getPlainEvent(2), isWhole: false });
  });
});

describe("an answer without length or chunks", () => {
  it("is not whole between two events when nothing listens any more at its server's address", async () => {
    const { answer } = await askThroughBox([
      sendUnframed(getEvent(0) + getEvent(1), true),
      sendChunks(joinEvents(2)),
    ]);
    expect(answer).toMatchObject({ body: joinEvents(0), isWhole: true });
  });

  it("is whole when only blank lines follow its last event", async () => {
    const { answer } = await askThroughBox([sendUnframed(`${joinEvents(0)}\n`)]);
    expect(answer).toMatchObject({ status: 200, isWhole: true });
    expect(answer.body.trimEnd()).toBe(joinEvents(0).trimEnd());
  });
});

describe("the head of a stream", () => {
  it("is that of the server whose events follow it", async () => {
    const { answer } = await askThroughBox([
      sendAndReset("", "first"),
      sendChunks(joinEvents(0)),
    ]);
    expect(answer).toMatchObject({ body: joinEvents(0), isWhole: true });
    expect(answer.headers["response-signature"]).toBe("signature");
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
    const { answer, lines } = await askThroughBox([
      sendAndReset(event),
      sendChunks(joinEvents(0)),
    ]);
    expect(failures).toEqual([]);
    expect(answer).toMatchObject({ body: event, isWhole: false });
    expect(lines.some(({ event: told }) => told === "stream_lost")).toBe(true);
  });
});
