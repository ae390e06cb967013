/**
 * Guards against a box that guesses which software version began a stream that a client takes up there, and against
 * boxes that refuse streams which can only be of one version.
 */
import { describe, expect, it } from "vitest";
import { SITE_KEY } from "@stairgauge/standins";
import { BUSY_MACHINE_TIMEOUT_MS, waitFor } from "./box.testkit.js";
import type { FleetBox } from "./fleet.testkit.js";
import {
  countMixed,
  countWhole,
  EVENTS,
  makeVersions,
  openStream,
  openStreams,
  startVersionedSite,
  takeUp,
  type TakeUp,
} from "./softwareVersions.testkit.js";

const STREAMS = 24;

const takeAllUp = (
  streams: Awaited<ReturnType<typeof openStreams>>,
  at: TakeUp["at"],
  named: Pick<TakeUp, "resumes" | "key" | "maxRetries"> = {},
) => Promise.all(streams.map((stream) => takeUp(stream, { at, ...named })));

const TWO_VERSIONS = makeVersions({ v1: 3, "v1.2": 5 });

const countLines = (box: FleetBox, event: string) =>
  box.lines.filter((line) => line["event"] === event).length;

describe("a stream of one of two software versions that a client takes up", () => {
  it.each([7, 14])(
    "goes on when the boxes that served it have stopped: %i boxes",
    async (boxes) => {
      const { fleet } = await startVersionedSite({ boxes, versions: TWO_VERSIONS });
      const stopped = fleet.slice(0, 2);
      const streams = await openStreams(stopped, STREAMS);
      await Promise.all(stopped.map(({ box }) => box.stop()));
      const outcomes = await takeAllUp(streams, fleet.slice(2));
      expect(countMixed(outcomes)).toBe(0);
      expect(countWhole(outcomes)).toBe(STREAMS);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each([3, 14])(
    "goes on at a box that has started since: beside %i boxes",
    async (boxes) => {
      const { fleet, start } = await startVersionedSite({
        boxes,
        versions: TWO_VERSIONS,
      });
      const streams = await openStreams(fleet, STREAMS);
      const late = await start();
      await waitFor(() =>
        late.lines.some(
          ({ event, boxes: all }) => event === "peers" && Number(all) > boxes,
        ),
      );
      const outcomes = await takeAllUp(streams, [late]);
      expect(countMixed(outcomes)).toBe(0);
      expect(countWhole(outcomes)).toBe(STREAMS);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "goes on when it is taken up again and again, each time at another box",
    async () => {
      const { fleet } = await startVersionedSite({ boxes: 3, versions: TWO_VERSIONS });
      const [first] = await openStreams(fleet, 1);
      let attempt = first!;
      const versions = new Set(attempt.listEvents().map(({ version }) => version));
      for (let tried = 1; tried <= 4; tried += 1) {
        attempt.leave();
        await attempt.ended;
        const lastEventId = attempt.listEvents().at(-1)!.id;
        attempt = openStream(fleet[tried % 3]!, { resumes: first!.id, lastEventId });
        await waitFor(() => attempt.hasBegun());
        for (const { version } of attempt.listEvents()) versions.add(version);
      }
      await attempt.ended;
      expect(attempt.listEvents().at(-1)!.id).toBe(String(EVENTS - 1));
      expect(versions.size).toBe(1);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "is refused at once, with no time to come back, when no server of its version is left",
    async () => {
      const { engines, fleet } = await startVersionedSite({
        boxes: 3,
        versions: makeVersions({ v1: 2, "v1.2": 6 }),
      });
      const streams = await openStreams(fleet, STREAMS);
      const old = engines.list().filter(({ version }) => version === "v1");
      const begun = streams.filter((stream) => stream.listEvents()[0]!.version === "v1");
      await Promise.all(old.map(({ id }) => engines.end(id, "v1.2")));
      await waitFor(() => fleet.every((box) => countLines(box, "server_leaving") >= 2));
      const outcomes = await takeAllUp(begun, [fleet[0]!], { maxRetries: 0 });
      expect(begun.length).toBeGreaterThan(0);
      expect(countMixed(outcomes)).toBe(0);
      expect(new Set(outcomes.map(({ status }) => status))).toEqual(new Set([503]));
      expect(outcomes.every(({ retryAfter }) => retryAfter === undefined)).toBe(true);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each<[string, Pick<TakeUp, "resumes">]>([
    ["names no request", { resumes: null }],
    ["names a request that nobody has on record", { resumes: "none-of-ours" }],
    ["names two requests", { resumes: ["s1", "s2"] }],
    ["names what is no id", { resumes: "s 1" }],
    ["names a text that is too long", { resumes: "s".repeat(500) }],
  ])(
    "is refused when its client %s",
    async (_, named) => {
      const { fleet } = await startVersionedSite({ boxes: 3, versions: TWO_VERSIONS });
      const streams = await openStreams(fleet, 6);
      const outcomes = await takeAllUp(streams, [fleet[0]!], { ...named, maxRetries: 0 });
      expect(countMixed(outcomes)).toBe(0);
      expect(new Set(outcomes.map(({ status }) => status))).toEqual(new Set([503]));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "is not known to another workspace that names it",
    async () => {
      const { fleet, putWorkspaces } = await startVersionedSite({
        boxes: 3,
        versions: TWO_VERSIONS,
      });
      putWorkspaces({ [SITE_KEY]: 1, other: 1 });
      await waitFor(() =>
        fleet.every((box) => countLines(box, "configuration_adopted") === 2),
      );
      const streams = await openStreams(fleet, 6);
      const other = { key: "other", maxRetries: 0 };
      const outcomes = await takeAllUp(streams, [fleet[0]!], other);
      expect(new Set(outcomes.map(({ status }) => status))).toEqual(new Set([503]));
      const own = await takeAllUp(streams, [fleet[0]!]);
      expect(countWhole(own)).toBe(6);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});

describe("a stream of the only software version that a client takes up", () => {
  const ONE_VERSION = makeVersions({ v1: 4 });

  it(
    "goes on although its client names no request",
    async () => {
      const { fleet } = await startVersionedSite({ boxes: 3, versions: ONE_VERSION });
      const streams = await openStreams(fleet, STREAMS);
      const outcomes = await takeAllUp(streams, [fleet[0]!], { resumes: null });
      expect(countWhole(outcomes)).toBe(STREAMS);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "goes on after all boxes have been restarted",
    async () => {
      const site = await startVersionedSite({ boxes: 3, versions: ONE_VERSION });
      const streams = await openStreams(site.fleet, STREAMS);
      await Promise.all(site.fleet.map(({ box }) => box.stop()));
      const restarted = await Promise.all([site.start(), site.start(), site.start()]);
      const outcomes = await takeAllUp(streams, restarted);
      expect(countWhole(outcomes)).toBe(STREAMS);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "is refused after all boxes have been restarted, if another version has just replaced it",
    async () => {
      const site = await startVersionedSite({ boxes: 3, versions: ONE_VERSION });
      const streams = await openStreams(site.fleet, STREAMS);
      await Promise.all(site.fleet.map(({ box }) => box.stop()));
      const old = site.engines.list();
      await Promise.all(old.map(({ id }) => site.engines.end(id, "v1.2")));
      const restarted = await Promise.all([site.start(), site.start()]);
      const outcomes = await takeAllUp(streams, restarted, { maxRetries: 1 });
      expect(countMixed(outcomes)).toBe(0);
      expect(countWhole(outcomes)).toBe(0);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
