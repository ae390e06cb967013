import { describe, expect, it } from "vitest";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { Route, RouteName } from "@stairgauge/routing";
import { fitsBeforeStop } from "./fitsBeforeStop.js";
import type { RequestHead } from "./types.js";

const makeRoute = (kind: Route["kind"], answerLimit: number): Route => ({
  name: "r" as RouteName,
  host: "a.example",
  pathPrefix: "/",
  kind,
  isResumable: false,
  isKeyless: true,
  answerLimit: answerLimit as Ms,
  firstAnswerAim: 10 as Ms,
  pauseAim: undefined,
  maxServers: 1,
  tier: 0,
  shares: [{ service: "s" as ServiceName, weight: 1 }],
});

const makeHead = (lengthEstimate: number | undefined): RequestHead => ({
  id: undefined,
  method: "POST",
  target: "/",
  host: "a.example",
  patience: undefined,
  key: undefined,
  usage: { prompt: 100, maxOut: 2_000 },
  lengthEstimate,
  lastEventId: undefined,
  resumes: { kind: "unnamed" },
  promptParts: [],
  contentLength: undefined,
  forwardedHeaders: [],
});

const STREAM = makeRoute("stream", 39_000);
const PLAIN = makeRoute("once", 600);

describe("fitsBeforeStop", () => {
  // The box stops 8 s after the announcement; the request arrives `now` ms after it.
  it.each([
    ["accepts a short generation at first", STREAM, 60, 100, true],
    ["refuses a long generation at first", STREAM, 900, 100, false],
    ["refuses any generation after the discovery lag", STREAM, 4, 4_054, false],
    ["accepts a plain request that ends in time", PLAIN, undefined, 7_000, true],
    ["refuses a plain request that may end too late", PLAIN, undefined, 7_500, false],
  ] as const)("%s", (_name, route, guess, now, fits) => {
    const times = { announcedAt: 0 as Ms, endsAt: 8_000 as Ms, now: now as Ms };
    expect(fitsBeforeStop({ ...times, head: makeHead(guess), route })).toBe(fits);
  });
});
