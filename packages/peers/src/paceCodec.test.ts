import { describe, expect, it } from "vitest";
import {
  createVirtualClock,
  type BoxName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import { NO_CRASH_UPDATE } from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import { NO_LIMIT_UPDATE } from "@stairgauge/limits";
import type { SharedPace } from "@stairgauge/pace";
import { createLoadRegistry } from "@stairgauge/placement";
import { hasContent, makeNotice } from "./makeNotice.js";
import { decodePaces, encodePaces } from "./paceCodec.js";
import { createRunReporter } from "./runReporter.js";
import type { RunUpdate } from "./types.js";
import { decodeNotice, decodeUpdate, encodeNotice, encodeUpdate } from "./updateCodec.js";

const PLAIN: SharedPace = {
  server: "a" as ServerId,
  service: "pages" as ServiceName,
  age: 120 as Ms,
  answer: { weight: 3, mean: 21.5 },
};
const ENGINE: SharedPace = {
  ...PLAIN,
  answer: undefined,
  reading: { weight: 1, mean: 0.1825 },
  event: { weight: 2, mean: 44.25 },
  gaps: { gaps: 20, aboveTarget: 1, longestMs: 190.5 },
  isSlow: true,
};

const pass = (paces: readonly SharedPace[]) => {
  return decodeNotice(Buffer.from(JSON.stringify(encodePaces(paces)))).paces;
};

describe("the codec of service times", () => {
  it("returns what was sent", () => {
    expect(pass([PLAIN, ENGINE])).toEqual([PLAIN, ENGINE]);
  });

  it("sends at most 64 servers, and nothing where there is nothing", () => {
    expect(pass(Array<SharedPace>(100).fill(PLAIN))?.length).toBe(64);
    expect(encodePaces([])).toEqual({});
    expect(encodePaces(undefined)).toEqual({});
    expect(decodePaces(undefined)).toEqual({});
  });

  it("ignores invalid service times, so that the rest of the message is accepted", () => {
    const decode = (paces: unknown) =>
      decodeNotice(Buffer.from(JSON.stringify({ paces }))).paces;
    expect(decode("x")).toBeUndefined();
    for (const invalid of [{ server: 1 }, { ...PLAIN, answer: [1, -1] }, null]) {
      expect(decode([invalid])).toBeUndefined();
      const { paces } = encodePaces([PLAIN]);
      expect(decode([invalid, ...paces!])).toEqual([PLAIN]);
    }
  });

  it("sends four plain servers in less than 400 bytes", () => {
    const bytes = JSON.stringify(encodePaces([PLAIN, PLAIN, PLAIN, PLAIN])).length;
    expect(bytes).toBeLessThan(400);
  });
});

describe("messages with service times", () => {
  it("carries what a box has observed in its next batch, once", () => {
    const clock = createVirtualClock();
    const sent: RunUpdate[] = [];
    const reporter = createRunReporter({
      clock,
      own: "box" as BoxName,
      registry: createLoadRegistry(),
      send: (update) => sent.push(decodeUpdate(encodeUpdate(update))),
      sendToSome: () => undefined,
      listLeaving: () => [],
      listCrashes: () => NO_CRASH_UPDATE,
      listLimits: () => NO_LIMIT_UPDATE,
    });
    reporter.recordPaces([PLAIN]);
    reporter.recordPaces([ENGINE]);
    clock.advance(10 as Ms);
    reporter.recordLimits(NO_LIMIT_UPDATE);
    clock.advance(10 as Ms);
    expect(sent.map(({ paces }) => paces)).toEqual([[PLAIN, ENGINE], undefined]);
    expect("paces" in reporter.makeWhole()).toBe(false);
  });

  it("carries estimates in notices, and accepts notices of boxes of earlier releases", () => {
    const notice = makeNotice({ paces: [PLAIN] });
    expect(hasContent(notice)).toBe(true);
    expect(decodeNotice(encodeNotice(notice)).paces).toEqual([PLAIN]);
    expect(decodeNotice(encodeNotice(makeNotice({})))).toEqual(makeNotice({}));
    const invalid = Buffer.from(JSON.stringify({ leaving: [], paces: [{ server: 1 }] }));
    expect(decodeNotice(invalid)).toEqual(makeNotice({}));
  });
});
