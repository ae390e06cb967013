/**
 * A machine may be suspended for seconds, and its steady clock does not count them. A box that judged ages by that clock alone took
 * for fresh, after waking, what it had heard before: it accepted a key that had been taken away meanwhile, and told boxes that
 * were in touch the list of servers as just confirmed. What is known must be as old as it is, until it has been confirmed anew.
 */
import { describe, expect, it } from "vitest";
import {
  createSystemClock,
  Ok,
  toAgingClock,
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
  waitUntilKnown,
} from "./box.testkit.js";
import { startUsersSite } from "@stairgauge/standins";

const SUSPENDED_MS = 5_000;

/** The machine's clocks, of which only one goes on while it is suspended. */
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
  it("accepts no key until it has heard anew which ones there are", async () => {
    const site = await startUsersSite({ engines: 0, services: 1 });
    closers.push(site.close);
    const { clock, passSuspended } = createSuspendableClock();
    const changes = { isKeyRemovalStrict: true };
    const box = await startBox(site.store.address, "box-1", changes, clock);
    site.putConfiguration();
    await waitUntilKnown(box.lines, 1);
    // What the box waits for at the store is lost with the suspension, as on a machine whose links were dropped meanwhile.
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

  it("hands on what it knows as old as it is", () => {
    const { clock, passSuspended } = createSuspendableClock();
    const aging = toAgingClock(clock);
    const mirror = createTableMirror(aging);
    mirror.observe(SINK).onWhole([], aging.monotonic(), makeRevision(1, 1));
    passSuspended(SUSPENDED_MS);
    expect(mirror.getAge()).toBeGreaterThanOrEqual(SUSPENDED_MS);
  });

  it("does not act on a place that another box gave before", async () => {
    const { clock, passSuspended } = createSuspendableClock();
    const passedOver: string[] = [];
    const hub = { box: "hub" as BoxName, capacity: 1 };
    const asker = createHubAsker({
      clock: toAgingClock(clock),
      links: { isHub: () => false, listHubs: () => [hub.box], listUp: () => [hub] },
      onPassedOver: (box) => passedOver.push(box),
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
