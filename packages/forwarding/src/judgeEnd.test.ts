import { describe, expect, it } from "vitest";
import { NO_SIGNALS } from "@stairgauge/signals";
import { judgeEnd, judgeEndBy, type EndedAnswer } from "./judgeEnd.js";

const makeEnded = (changes: Partial<EndedAnswer>): EndedAnswer => ({
  endedBy: "connection",
  isBodyNeeded: true,
  isStream: true,
  bytesLeft: 0,
  isLeaving: false,
  ...changes,
});

describe("judgeEnd", () => {
  it("takes an end by its framing for whole, but not within an event", () => {
    for (const isLeaving of [false, true]) {
      const ended = makeEnded({ endedBy: "framing", isLeaving });
      expect(judgeEnd(ended)).toEqual({ kind: "whole" });
      expect(judgeEnd({ ...ended, bytesLeft: 7 }).kind).toBe("cut");
    }
  });

  it("needs no proof of a body that nothing rests on", () => {
    const refusal = makeEnded({ isStream: false, isBodyNeeded: false });
    expect(judgeEnd(refusal)).toEqual({ kind: "whole" });
  });

  it("never takes the end of a connection for whole by itself", () => {
    for (const isStream of [false, true])
      for (const bytesLeft of [0, 7])
        for (const isLeaving of [false, true])
          expect(judgeEnd(makeEnded({ isStream, bytesLeft, isLeaving })).kind).not.toBe(
            "whole",
          );
  });

  it("knows a stream that ends within an event, or at a server that leaves, for cut", () => {
    expect(judgeEnd(makeEnded({ bytesLeft: 1 })).kind).toBe("cut");
    expect(judgeEnd(makeEnded({ isLeaving: true })).kind).toBe("cut");
    expect(judgeEnd(makeEnded({})).kind).toBe("unproven");
    expect(judgeEnd(makeEnded({ isStream: false, isLeaving: true })).kind).toBe(
      "unproven",
    );
  });
});

describe("judgeEndBy", () => {
  it("takes an answer for whole only if its server is still there, where it can be asked", () => {
    const present = {
      kind: "present",
      startedAt: undefined,
      signs: NO_SIGNALS,
    } as const;
    expect(judgeEndBy(present)).toEqual({ kind: "whole" });
    expect(judgeEndBy(undefined)).toEqual({ kind: "whole" });
    const absent = { kind: "absent", cause: "ended", detail: "ECONNREFUSED" } as const;
    expect(judgeEndBy(absent)).toEqual({
      kind: "cut",
      detail: "connection ended, and its server is not known to live: ECONNREFUSED",
    });
  });
});
