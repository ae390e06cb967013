import { describe, expect, it } from "vitest";
import { createSystemClock } from "@stairgauge/common";
import type { ClientAnswer, WholeHead } from "./clientAnswer.js";
import { createStreamRelay } from "./streamRelay.js";

const makeRelay = (resumeAfter?: string) => {
  const heads: WholeHead[] = [];
  let sent = "";
  let isEnded = false;
  const answer: ClientAnswer = {
    hasBegun: () => heads.length > 0,
    isOver: () => isEnded,
    sendWhole: () => undefined,
    begin: (head) => void heads.push(head),
    write: (bytes) => {
      sent += bytes.toString();
      return true;
    },
    end: () => {
      isEnded = true;
    },
    break: () => undefined,
    onDrain: () => undefined,
  };
  const relay = createStreamRelay({
    clock: createSystemClock(),
    answer,
    resumeAfter,
    onFirstEvent: () => undefined,
    onEvents: () => undefined,
  });
  return { relay, heads, getSent: () => sent, isEnded: () => isEnded };
};

const makeEvent = (id: number, by: string) => `id: ${id}\ndata: ${by}\n\n`;

describe("createStreamRelay", () => {
  it("drops the incomplete event of a segment when the next one begins", () => {
    const { relay, getSent } = makeRelay();
    relay.beginSegment([], "").push(Buffer.from(`${makeEvent(0, "a")}id: 1\nda`));
    const next = relay.beginSegment([], "");
    expect(next.countBytesLeft()).toBe(0);
    next.push(Buffer.from(makeEvent(1, "b")));
    expect(getSent()).toBe(makeEvent(0, "a") + makeEvent(1, "b"));
  });

  it("ignores further bytes and the end of a segment once another has begun", () => {
    const { relay, getSent, isEnded } = makeRelay();
    const first = relay.beginSegment([], "");
    first.push(Buffer.from(makeEvent(0, "a")));
    relay.beginSegment([], "");
    expect(first.push(Buffer.from(makeEvent(1, "a")))).toEqual({ kind: "held" });
    first.finish();
    expect(getSent()).toBe(makeEvent(0, "a"));
    expect(isEnded()).toBe(false);
  });

  it("sends only the head of the server whose event is forwarded first", () => {
    const { relay, heads } = makeRelay();
    relay.beginSegment(["Signature", "a"], "").push(Buffer.from("id: 0\nda"));
    relay.beginSegment(["Signature", "b"], "").push(Buffer.from(makeEvent(0, "b")));
    relay.beginSegment(["Signature", "c"], "").push(Buffer.from(makeEvent(1, "c")));
    expect(heads.map(({ headers }) => headers)).toEqual([["Signature", "b"]]);
  });

  it.each([0, 1, 3])(
    "forwards nothing of a segment that starts at %i after 1",
    (first) => {
      const { relay, getSent } = makeRelay();
      relay.beginSegment([], "").push(Buffer.from(makeEvent(0, "a") + makeEvent(1, "a")));
      const segment = relay.beginSegment([], "");
      const step = { kind: "does_not_follow", eventId: String(first), behind: "1" };
      expect(segment.push(Buffer.from(makeEvent(first, "b")))).toEqual(step);
      expect(segment.push(Buffer.from(makeEvent(2, "b")))).toEqual({ kind: "held" });
      expect(getSent()).toBe(makeEvent(0, "a") + makeEvent(1, "a"));
    },
  );

  it("forwards nothing of a first segment that ignores the event to resume after", () => {
    const { relay, getSent, heads } = makeRelay("4");
    relay.beginSegment([], "").push(Buffer.from(makeEvent(0, "a")));
    expect([getSent(), heads]).toEqual(["", []]);
    relay.beginSegment([], "").push(Buffer.from(makeEvent(5, "b")));
    expect(getSent()).toBe(makeEvent(5, "b"));
  });

  it("gives up a segment whose event never ends, and drops its buffered bytes", () => {
    const { relay, getSent } = makeRelay();
    const segment = relay.beginSegment([], "");
    segment.push(Buffer.from(makeEvent(0, "a")));
    const part = Buffer.alloc(64 * 1024, "x");
    const steps = Array.from({ length: 10 }, () => segment.push(part).kind);
    expect(steps).toContain("no_event");
    expect(steps.at(-1)).toBe("held");
    relay.beginSegment([], "").push(Buffer.from(makeEvent(1, "b")));
    expect(getSent()).toBe(makeEvent(0, "a") + makeEvent(1, "b"));
  });

  it("buffers comments of a segment until its first event proves to follow", () => {
    const { relay, getSent } = makeRelay();
    relay.beginSegment([], "").push(Buffer.from(makeEvent(0, "a")));
    const segment = relay.beginSegment([], "");
    expect(segment.push(Buffer.from(": here\n\n"))).toEqual({ kind: "held" });
    expect(getSent()).toBe(makeEvent(0, "a"));
    segment.push(Buffer.from(makeEvent(1, "b")));
    expect(getSent()).toBe(`${makeEvent(0, "a")}: here\n\n${makeEvent(1, "b")}`);
  });
});
