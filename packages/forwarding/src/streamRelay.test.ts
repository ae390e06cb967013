import { describe, expect, it } from "vitest";
import { createSystemClock } from "@stairgauge/common";
import type { ClientAnswer, WholeHead } from "./clientAnswer.js";
import { createStreamRelay } from "./streamRelay.js";

const makeRelay = (askedBehind?: string) => {
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
    askedBehind,
    onFirstEvent: () => undefined,
  });
  return { relay, heads, getSent: () => sent, isEnded: () => isEnded };
};

const makeEvent = (id: number, by: string) => `id: ${id}\ndata: ${by}\n\n`;

describe("createStreamRelay", () => {
  it("drops what a leg leaves behind when the next one begins", () => {
    const { relay, getSent } = makeRelay();
    relay.beginSegment([], "").push(Buffer.from(`${makeEvent(0, "a")}id: 1\nda`));
    const next = relay.beginSegment([], "");
    expect(next.countBytesLeft()).toBe(0);
    next.push(Buffer.from(makeEvent(1, "b")));
    expect(getSent()).toBe(makeEvent(0, "a") + makeEvent(1, "b"));
  });

  it("takes nothing more from a leg once another has begun, nor its end", () => {
    const { relay, getSent, isEnded } = makeRelay();
    const first = relay.beginSegment([], "");
    first.push(Buffer.from(makeEvent(0, "a")));
    relay.beginSegment([], "");
    expect(first.push(Buffer.from(makeEvent(1, "a")))).toEqual({ kind: "held" });
    first.finish();
    expect(getSent()).toBe(makeEvent(0, "a"));
    expect(isEnded()).toBe(false);
  });

  it("sends the head of the server whose event goes out first, and no other", () => {
    const { relay, heads } = makeRelay();
    relay.beginSegment(["Signature", "a"], "").push(Buffer.from("id: 0\nda"));
    relay.beginSegment(["Signature", "b"], "").push(Buffer.from(makeEvent(0, "b")));
    relay.beginSegment(["Signature", "c"], "").push(Buffer.from(makeEvent(1, "c")));
    expect(heads.map(({ headers }) => headers)).toEqual([["Signature", "b"]]);
  });

  it.each([0, 1, 3])("passes nothing on of a leg that begins at %i behind 1", (first) => {
    const { relay, getSent } = makeRelay();
    relay.beginSegment([], "").push(Buffer.from(makeEvent(0, "a") + makeEvent(1, "a")));
    const leg = relay.beginSegment([], "");
    const step = { kind: "does_not_follow", eventId: String(first), behind: "1" };
    expect(leg.push(Buffer.from(makeEvent(first, "b")))).toEqual(step);
    expect(leg.push(Buffer.from(makeEvent(2, "b")))).toEqual({ kind: "held" });
    expect(getSent()).toBe(makeEvent(0, "a") + makeEvent(1, "a"));
  });

  it("passes nothing on of a first leg that overlooks what the client asked behind", () => {
    const { relay, getSent, heads } = makeRelay("4");
    relay.beginSegment([], "").push(Buffer.from(makeEvent(0, "a")));
    expect([getSent(), heads]).toEqual(["", []]);
    relay.beginSegment([], "").push(Buffer.from(makeEvent(5, "b")));
    expect(getSent()).toBe(makeEvent(5, "b"));
  });

  it("gives up a leg whose event never ends, and what it holds of it", () => {
    const { relay, getSent } = makeRelay();
    const leg = relay.beginSegment([], "");
    leg.push(Buffer.from(makeEvent(0, "a")));
    const part = Buffer.alloc(64 * 1024, "x");
    const steps = Array.from({ length: 10 }, () => leg.push(part).kind);
    expect(steps).toContain("too_long");
    expect(steps.at(-1)).toBe("held");
    relay.beginSegment([], "").push(Buffer.from(makeEvent(1, "b")));
    expect(getSent()).toBe(makeEvent(0, "a") + makeEvent(1, "b"));
  });

  it("holds comments of a leg back until its first event has joined", () => {
    const { relay, getSent } = makeRelay();
    relay.beginSegment([], "").push(Buffer.from(makeEvent(0, "a")));
    const leg = relay.beginSegment([], "");
    expect(leg.push(Buffer.from(": here\n\n"))).toEqual({ kind: "held" });
    expect(getSent()).toBe(makeEvent(0, "a"));
    leg.push(Buffer.from(makeEvent(1, "b")));
    expect(getSent()).toBe(`${makeEvent(0, "a")}: here\n\n${makeEvent(1, "b")}`);
  });
});
