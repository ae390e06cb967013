import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import {
  deriveFraming,
  describeAnswerEnd,
  type AnswerEndInputs,
} from "./describeAnswerEnd.js";
import { createEventSplitter } from "./eventSplitter.js";
import { makeAnswerHead } from "./answerHead.testkit.js";
import type { AnswerHead } from "./types.js";

const makeHead = (changes: Partial<AnswerHead> = {}): AnswerHead =>
  makeAnswerHead({ contentLength: undefined, isEventStream: true, ...changes });
const UNFRAMED = makeHead({ isUnframed: true });

const makeInputs = (changes: Partial<AnswerEndInputs> = {}): AnswerEndInputs => {
  const splitter = createEventSplitter();
  splitter.push(Buffer.from("id: 4\ndata: a\n\nid: 5\nda"));
  return {
    head: makeHead(),
    endedBy: "framing",
    closing: { kind: "answered", head: makeHead() },
    relay: {
      getLastEventId: splitter.getLastEventId,
      countBytesLeft: splitter.countPendingBytes,
    },
    continuations: 0,
    status: { kind: "ready", age: undefined },
    ...changes,
  };
};

describe("deriveFraming", () => {
  it.each([
    ["length", { contentLength: 7 }],
    ["length", { contentLength: 0 }],
    ["chunks", {}],
    ["connection", { isUnframed: true }],
  ])("returns %s for %j", (framing, changes) => {
    expect(deriveFraming(makeHead(changes))).toBe(framing);
  });
});

describe("describeAnswerEnd", () => {
  it("includes the state of the stream and the status of the server", () => {
    const status = { kind: "leaving", age: 250 as Ms } as const;
    expect(describeAnswerEnd(makeInputs({ continuations: 2, status }))).toEqual({
      framing: "chunks",
      closed: "by_framing",
      lastEventId: "4",
      bytesLeft: "id: 5\nda".length,
      continuations: 2,
      serverStanding: "leaving",
      standingAgeMs: 250,
    });
  });

  it.each<[string, Partial<AnswerEndInputs>]>([
    [
      "in_order",
      {
        head: UNFRAMED,
        endedBy: "connection",
        closing: { kind: "answered", head: UNFRAMED },
      },
    ],
    [
      "ECONNRESET",
      { closing: { kind: "failed", failure: { kind: "broken", detail: "ECONNRESET" } } },
    ],
    ["left_open", { closing: { kind: "left_open" } }],
  ])("describes how the answer ended: %s", (closed, changes) => {
    expect(describeAnswerEnd(makeInputs(changes)).closed).toBe(closed);
  });

  it("returns framing none for an answer that ended with its head", () => {
    const closing = { kind: "answered", head: UNFRAMED } as const;
    expect(describeAnswerEnd(makeInputs({ head: UNFRAMED, closing }))).toMatchObject({
      framing: "none",
      closed: "by_framing",
    });
  });

  it("has no framing if no head arrived", () => {
    const { framing } = describeAnswerEnd(makeInputs({ head: undefined }));
    expect(framing).toBeUndefined();
  });
});
