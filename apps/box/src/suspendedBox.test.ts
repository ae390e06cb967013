/**
 * Guards against stale data after a machine was suspended. The monotonic clock doesn't count
 * the suspended time, so a box that computes ages from it takes old data for fresh: it accepts
 * a key that was removed meanwhile, and shares the list of servers as just confirmed. The age
 * of data must include the suspended time until the data is confirmed again.
 */
import { describe, expect, it } from "vitest";
import {
  createSystemClock,
  Ok,
  toBoottimeClock,
  type BoxName,
  type Clock,
  type Ms,
} from "@stairgauge/common";
import { createHubAsker } from "@stairgauge/peers";
import {
  createTableMirror,
  makeRevision,
  type FollowerSink,
} from "@stairgauge/storefeed";
import {
  ask,
  closers,
  KEY_REMOVAL_MS,
  startBox,
  waitFor,
  waitUntilRead,
} from "./box.testkit.js";
import { startUsersSite } from "@stairgauge/standins";

const SUSPENDED_MS = 5_000;

/**
 * Creates the clocks of a machine that can be suspended; the monotonic clock stops meanwhile.
 */
const createSuspendableClock = () => {
  const machine = createSystemClock();
  let suspended = 0;
  const clock: Clock = {
    ...machine,
    now: () => (machine.now() + suspended) as Ms,
    boottime: () => (machine.monotonic() + suspended) as Ms,
  };
  const passSuspended = (duration: number) => {
    suspended += duration;
  };
  return { clock, passSuspended };
};

const SINK: FollowerSink = {
  onWhole: () => undefined,
  onChanges: () => undefined,
  onFailure: () => undefined,
  onRegained: () => undefined,
};

describe("a box whose machine was suspended", () => {
  it("accepts no key until it has read the configuration again", async () => {
    const site = await startUsersSite({ engines: 0, services: 1 });
    closers.push(site.close);
    const { clock, passSuspended } = createSuspendableClock();
    const changes = { isKeyRemovalStrict: true };
    const box = await startBox(site.store.address, "box-1", changes, clock);
    site.putConfiguration();
    await waitUntilRead(box.lines, 1);
    // The box's open calls to the store are lost with the suspension, as if the links were
    // dropped meanwhile.
    site.store.setMode("silent");
    passSuspended(SUSPENDED_MS);
    const { status } = await ask(box.ports, { path: "/once/", id: "woken" });
    expect(status).toBe(503);
    const refusal = box.lines.find(({ request }) => request === "woken");
    expect(refusal).toMatchObject({ event: "refused", reason: "knowledge_too_old" });
    expect(Number(refusal?.["versionAgeMs"])).toBeGreaterThan(KEY_REMOVAL_MS);
    site.store.setMode("up");
    await waitFor(async () => (await ask(box.ports, { path: "/once/" })).status === 200);
  });

  it("counts the suspended time in the age of its rows", () => {
    const { clock, passSuspended } = createSuspendableClock();
    const aging = toBoottimeClock(clock);
    const mirror = createTableMirror(aging);
    mirror.observe(SINK).onWhole([], aging.monotonic(), makeRevision(1, 1));
    passSuspended(SUSPENDED_MS);
    expect(mirror.getAge()).toBeGreaterThanOrEqual(SUSPENDED_MS);
  });

  it("ignores a placement that a hub decided before", async () => {
    const { clock, passSuspended } = createSuspendableClock();
    const passedOver: string[] = [];
    const hub = { box: "hub" as BoxName, capacity: 1 };
    const asker = createHubAsker({
      clock: toBoottimeClock(clock),
      links: {
        isHub: () => false,
        listHubs: () => [hub.box],
        listConnected: () => [hub],
      },
      onEjected: (box) => passedOver.push(box),
    });
    const answered = asker.ask({
      call: async () => {
        passSuspended(SUSPENDED_MS);
        return Ok("place");
      },
      question: "where",
      limit: 150 as Ms,
      signal: new AbortController().signal,
    });
    expect(await answered).toBeUndefined();
    expect(passedOver).toEqual(["hub"]);
  });
});
