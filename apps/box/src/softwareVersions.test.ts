/**
 * Guards against a stream that holds events of two software versions of its service: when its server
 * ended, when its run was moved, and when its client took it up at another box, the next server was
 * chosen as for a new request.
 */
import { describe, expect, it } from "vitest";
import { startUsersSite } from "@stairgauge/standins";
import { beginDraft, BUSY_MACHINE_TIMEOUT_MS, closers, waitMs } from "./box.testkit.js";
import { startFleet } from "./fleet.testkit.js";
import {
  countMixed,
  countWhole,
  finishStream,
  openStreams,
  READING_MS,
  makeVersions,
  startVersionedSite,
  takeUp,
} from "./softwareVersions.testkit.js";

describe("a started stream whose service has servers of several software versions", () => {
  it.each([
    [3, 48],
    [7, 48],
    [14, 84],
  ])(
    "goes on at its own version when servers end and return as another: %i boxes",
    async (boxes, count) => {
      const versions = makeVersions({ v1: 4, "v1.2": 4 });
      const { engines, fleet } = await startVersionedSite({ boxes, versions });
      const streams = await openStreams(fleet, count);
      const [first, second] = engines.list().filter(({ version }) => version === "v1");
      await engines.end(first!.id, "v1.2");
      await waitMs(READING_MS);
      await engines.end(second!.id, "v1.2");
      const outcomes = await Promise.all(
        streams.map((stream, i) => finishStream(stream, [fleet[(i + 1) % boxes]!])),
      );
      expect(countMixed(outcomes)).toBe(0);
      expect(countWhole(outcomes)).toBe(count);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each([
    [3, 48, { v1: 3, "v1.2": 5 }],
    [7, 80, { v1: 2, "v1.2": 8 }],
    [14, 84, { v1: 3, "v1.2": 5 }],
  ])(
    "goes on at its own version when its client takes it up at another box: %i boxes",
    async (boxes, count, counts) => {
      const versions = makeVersions(counts);
      const { fleet } = await startVersionedSite({ boxes, versions });
      const streams = await openStreams(fleet, count);
      const outcomes = await Promise.all(
        streams.map((stream, i) => takeUp(stream, { at: [fleet[(i + 1) % boxes]!] })),
      );
      expect(countMixed(outcomes)).toBe(0);
      expect(countWhole(outcomes)).toBe(count);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "is moved only to engines of its own version when its engine leaves",
    async () => {
      const site = await startUsersSite({ engines: 8, services: 0 });
      closers.push(site.close);
      site.engines.slice(3).forEach((engine) => site.putEngineVersion(engine, "v1.2"));
      site.putConfiguration();
      const store = site.store.address;
      const { fleet } = await startFleet({ store, boxes: 3, servers: 8 });
      const drafts = await Promise.all(
        Array.from({ length: 24 }, (_, i) => beginDraft(fleet[i % 3]!.ports)),
      );
      const leaving = site.engines.slice(0, 2);
      const atLeaving = leaving.flatMap((engine) => engine.listStarted()).length;
      for (const engine of leaving) site.announceLeaving(engine);
      const answers = await Promise.all(drafts.map(({ answered }) => answered));
      const moves = fleet
        .flatMap(({ lines }) => lines)
        .filter(({ event }) => event === "continued");
      expect(atLeaving).toBeGreaterThan(0);
      expect(moves.length).toBeGreaterThan(0);
      const changed = moves.filter((move) => move["fromVersion"] !== move["toVersion"]);
      expect(changed).toHaveLength(0);
      expect(answers.every(({ isWhole }) => isWhole)).toBe(true);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
