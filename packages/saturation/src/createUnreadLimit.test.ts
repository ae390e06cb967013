/** Guards against a limit that a single odd client or a slow server sets for all others. */
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { LAST_REQUESTS } from "./constants.js";
import { createUnreadLimit } from "./createUnreadLimit.js";

const makeRequest = (answerWithin: number, readWithin?: number) => ({
  answerWithin: answerWithin as Ms,
  readWithin: readWithin as Ms | undefined,
});

const createTaught = (
  requests: readonly ReturnType<typeof makeRequest>[],
  answers: number[],
) => {
  const limit = createUnreadLimit();
  for (const request of requests) limit.recordRead(request);
  for (const after of answers) limit.recordAnswer(after as Ms);
  return limit;
};

const makeMany = <T>(count: number, value: T) =>
  Array.from({ length: count }, () => value);

describe("createUnreadLimit", () => {
  it("knows no limit before the first request", () => {
    expect(createUnreadLimit().get()).toBeUndefined();
  });

  it("leaves the time that answers take, and at least a third of what callers wait", () => {
    const requests = makeMany(LAST_REQUESTS, makeRequest(600));
    expect(createTaught(requests, makeMany(20, 100)).get()).toBe(500);
    expect(createTaught(requests, makeMany(20, 590)).get()).toBe(200);
  });

  it("goes by those who wait the shortest time, but not by one among many", () => {
    const patient = makeMany(20, makeRequest(30_000));
    expect(createTaught([...patient, makeRequest(1)], []).get()).toBe(30_000);
    expect(createTaught([...patient, ...makeMany(8, makeRequest(600))], []).get()).toBe(
      600,
    );
  });

  it("is never so short that clients who name odd times have those of others closed", () => {
    for (const odd of [0, -5, 1])
      expect(createTaught(makeMany(32, makeRequest(odd, odd)), []).get()).toBe(200);
  });

  it("goes by the time in which a request has to be read if that is shorter", () => {
    expect(createTaught(makeMany(8, makeRequest(9_000, 1_000)), []).get()).toBe(1_000);
  });

  it("forgets requests once enough others were read", () => {
    const limit = createTaught(makeMany(LAST_REQUESTS, makeRequest(600)), []);
    for (const request of makeMany(LAST_REQUESTS, makeRequest(30_000)))
      limit.recordRead(request);
    expect(limit.get()).toBe(30_000);
  });
});
