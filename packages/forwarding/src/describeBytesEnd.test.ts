import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import {
  deriveFraming,
  describeBytesEnd,
  type BytesEndInputs,
} from "./describeBytesEnd.js";
import { createEventSplitter } from "./eventSplitter.js";
import { makeAnswerHead } from "./answerHead.testkit.js";
import type { AnswerHead } from "./types.js";

const makeHead = (changes: Partial<AnswerHead> = {}): AnswerHead =>
  makeAnswerHead({ contentLength: undefined, isEventStream: true, ...changes });
const UNFRAMED = makeHead({ isUnframed: true });

const makeInputs = (changes: Partial<BytesEndInputs> = {}): BytesEndInputs => {
  const splitter = createEventSplitter();
  splitter.push(Buffer.from("id: 4\ndata: a\n\nid: 5\nda"));
  return {
    head: makeHead(),
    endedBy: "framing",
    closing: { kind: "answered", head: makeHead() },
    relay: {
      getLastEventId: splitter.getLastEventId,
      countBytesLeft: splitter.countRest,
    },
    continuations: 0,
    standing: { kind: "ready", age: undefined },
    ...changes,
  };
};

describe("deriveFraming", () => {
  it.each([
    ["length", { contentLength: 7 }],
    ["length", { contentLength: 0 }],
    ["chunks", {}],
    ["connection", { isUnframed: true }],
  ])("says %s for %j", (framing, changes) => {
    expect(deriveFraming(makeHead(changes))).toBe(framing);
  });
});

describe("describeBytesEnd", () => {
  it("tells what was held of the stream and known of its server", () => {
    const standing = { kind: "leaving", age: 250 as Ms } as const;
    expect(describeBytesEnd(makeInputs({ continuations: 2, standing }))).toEqual({
      framing: "chunks",
      closed: "by_framing",
      lastEventId: "4",
      bytesLeft: "id: 5\nda".length,
      continuations: 2,
      serverStanding: "leaving",
      standingAgeMs: 250,
    });
  });

  it.each<[string, Partial<BytesEndInputs>]>([
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
  ])("says %s by how the bytes ended", (closed, changes) => {
    expect(describeBytesEnd(makeInputs(changes)).closed).toBe(closed);
  });

  it("says of an answer that ended with its head that it had no body", () => {
    const closing = { kind: "answered", head: UNFRAMED } as const;
    expect(describeBytesEnd(makeInputs({ head: UNFRAMED, closing }))).toMatchObject({
      framing: "none",
      closed: "by_framing",
    });
  });

  it("has no framing where no head came", () => {
    const { framing } = describeBytesEnd(makeInputs({ head: undefined }));
    expect(framing).toBeUndefined();
  });
});
