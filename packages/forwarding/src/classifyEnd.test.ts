import { describe, expect, it } from "vitest";
import { NO_SIGNALS } from "@stairgauge/signals";
import {
  classifyEnd,
  classifyEndByPresence,
  classifyEndByStop,
  classifyRest,
  type EndedAnswer,
} from "./classifyEnd.js";

const makeEnded = (changes: Partial<EndedAnswer>): EndedAnswer => ({
  endedBy: "connection",
  isBodyNeeded: true,
  bytesLeft: 0,
  isStreamUnbegun: false,
  isEndLeftOpen: false,
  isSettledElsewhere: false,
  ...changes,
});

describe("classifyEnd", () => {
  it("treats an end by framing as complete unless it is within an event", () => {
    const ended = makeEnded({ endedBy: "framing" });
    expect(classifyEnd(ended)).toEqual({ kind: "whole" });
    expect(classifyEnd({ ...ended, bytesLeft: 7 }).kind).toBe("cut");
  });

  it("needs no proof if the body is not needed", () => {
    const refusal = makeEnded({ isBodyNeeded: false });
    expect(classifyEnd(refusal)).toEqual({ kind: "whole" });
  });

  it("never treats a closed connection alone as complete", () => {
    for (const bytesLeft of [0, 7])
      expect(classifyEnd(makeEnded({ bytesLeft })).kind).not.toBe("whole");
  });

  it("treats a stream that ends before its first event as truncated unless its framing says that there is none", () => {
    expect(classifyEnd(makeEnded({ isStreamUnbegun: true })).kind).toBe("cut");
    const framed = makeEnded({ endedBy: "framing", isStreamUnbegun: true });
    expect(classifyEnd(framed).kind).toBe("whole");
    const rest = makeEnded({ isStreamUnbegun: true, isEndLeftOpen: true });
    expect(classifyEnd(rest).kind).toBe("unproven");
  });

  it("treats a stream as truncated if it ends within an event, or if a server that leaves ended it and the next one tells", () => {
    expect(classifyEnd(makeEnded({ bytesLeft: 1 })).kind).toBe("cut");
    const left = makeEnded({ isSettledElsewhere: true });
    expect(classifyEnd(left).kind).toBe("left_to_next");
    expect(classifyEnd({ ...left, bytesLeft: 1 }).kind).toBe("cut");
    const framed = makeEnded({ endedBy: "framing", isSettledElsewhere: true });
    expect(classifyEnd(framed).kind).toBe("whole");
    expect(classifyEnd(makeEnded({})).kind).toBe("unproven");
  });
});

describe("classifyEndByStop", () => {
  it("treats a stream as truncated if its run was stopped, or may have been", () => {
    expect(classifyEndByStop("stopped").kind).toBe("cut");
    expect(classifyEndByStop("unknown").kind).toBe("cut");
    expect(classifyEndByStop("none").kind).toBe("unproven");
  });
});

describe("classifyEndByPresence", () => {
  it("treats an answer as complete unless a health check finds its server absent", () => {
    const present = {
      kind: "present",
      startedAt: undefined,
      signals: NO_SIGNALS,
    } as const;
    expect(classifyEndByPresence(present)).toEqual({ kind: "whole" });
    expect(classifyEndByPresence(undefined)).toEqual({ kind: "whole" });
    const absent = { kind: "absent", cause: "ended", detail: "ECONNREFUSED" } as const;
    expect(classifyEndByPresence(absent)).toEqual({
      kind: "cut",
      detail: "connection ended, and its server is not known to live: ECONNREFUSED",
    });
  });
});

describe("classifyRest", () => {
  it("treats a stream as complete only if both servers closed in order", () => {
    const whole = { kind: "whole" } as const;
    const cut = { kind: "cut", detail: "connection ended" } as const;
    expect(classifyRest(whole, whole)).toEqual(whole);
    expect(classifyRest(whole, cut)).toEqual(cut);
    expect(classifyRest(cut, whole).kind).toBe("cut");
    expect(classifyRest(cut, cut).kind).toBe("cut");
  });
});
