/**
 * Guards against wrong joins when a stream continues at a second server:
 * - The second server doesn't begin where it was asked to, or events have no ids, so that the
 *   box asks for the wrong place: the client gets events twice or misses some, in an answer
 *   that ends as complete.
 * - A first attempt breaks off before its first event and its head is kept: the client gets the
 *   signature of one server with the events of another.
 * - An engine is killed between two events of an answer without length or chunks, so the answer
 *   ends normally, and the client's stream with it.
 * - An event id that isn't valid in a header throws while the next request is built: the stream
 *   hangs without a server until its deadline, and the connection opened for it stays open.
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

/** Deadline by which a box ends a request that waits for a server in vain. */
const PATIENCE = { "Deadline-Ms": "1500" };

const askResumable = (
  scripts: readonly EngineScript[],
  more: Readonly<Record<string, string>> = {},
) => askThrough("/verdict/", scripts, { ...PATIENCE, ...more });

const getPlainEvent = (index: number) => `data: group ${index}\n\n`;
const joinEvents = (from: number, get = getEvent) =>
  Array.from({ length: EVENT_COUNT - from }, (_, at) => get(from + at)).join("");

describe("a server that continues a stream", () => {
  it.each([
    ["at the start", joinEvents(0)],
    ["at the last event that the client has", joinEvents(1)],
    ["one event too late", joinEvents(3)],
  ])("has none of its events passed on if it begins %s", async (_where, text) => {
    const { answer, asked } = await askResumable([
      sendAndReset(getEvent(0) + getEvent(1)),
      sendChunks(text),
    ]);
    expect(asked).toEqual([undefined, "1"]);
    expect(answer).toMatchObject({
      body: getEvent(0) + getEvent(1),
      isWhole: false,
    });
  });

  it("is not asked to continue a stream without event ids", async () => {
    const { answer } = await askResumable([
      sendAndReset(getPlainEvent(0) + getPlainEvent(1)),
      sendChunks(joinEvents(0, getPlainEvent)),
    ]);
    expect(answer).toMatchObject({
      body: getPlainEvent(0) + getPlainEvent(1),
      isWhole: false,
    });
  });

  it("is not asked to continue after the client's Last-Event-Id if events without ids have followed", async () => {
    const { answer } = await askResumable(
      [sendAndReset(getPlainEvent(2)), sendChunks(getPlainEvent(2) + getPlainEvent(3))],
      { "Last-Event-Id": "1" },
    );
    expect(answer).toMatchObject({ body: getPlainEvent(2), isWhole: false });
  });
});

describe("an answer without length or chunks", () => {
  it("is not complete between two events if nothing listens at its server's address any more", async () => {
    const { answer } = await askResumable([
      sendUnframed(getEvent(0) + getEvent(1), true),
      sendChunks(joinEvents(2)),
    ]);
    expect(answer).toMatchObject({ body: joinEvents(0), isWhole: true });
  });

  it("is complete if only blank lines follow its last event", async () => {
    const { answer } = await askResumable([sendUnframed(`${joinEvents(0)}\n`)]);
    expect(answer).toMatchObject({ status: 200, isWhole: true });
    expect(answer.body.trimEnd()).toBe(joinEvents(0).trimEnd());
  });
});

describe("the head of a stream", () => {
  it("comes from the server whose events follow it", async () => {
    const { answer } = await askResumable([
      sendAndReset("", "first"),
      sendChunks(joinEvents(0)),
    ]);
    expect(answer).toMatchObject({ body: joinEvents(0), isWhole: true });
    expect(answer.headers["response-signature"]).toBe("signature");
  });
});

describe("an event id that isn't valid in a header", () => {
  let failures: unknown[] = [];
  const recordFailure = (failure: unknown) => void failures.push(failure);
  let previousListeners: NodeJS.UnhandledRejectionListener[] = [];
  beforeEach(() => {
    failures = [];
    previousListeners = process.listeners("unhandledRejection");
    process.removeAllListeners("unhandledRejection");
    process.on("unhandledRejection", recordFailure);
  });
  afterEach(() => {
    process.off("unhandledRejection", recordFailure);
    for (const onRejection of previousListeners)
      process.on("unhandledRejection", onRejection);
  });

  it.each(["a\u0001b", "a\u007fb"])(
    "causes the stream to be broken off at once: %j",
    async (id) => {
      const event = `id: ${id}\ndata: x\n\n`;
      const { answer, lines } = await askResumable([
        sendAndReset(event),
        sendChunks(joinEvents(0)),
      ]);
      expect(failures).toEqual([]);
      expect(answer).toMatchObject({ body: event, isWhole: false });
      expect(lines.some(({ event: name }) => name === "stream_lost")).toBe(true);
    },
  );
});
