/**
 * Guards callers when something else fails while boxes have lost their paths, the streams that were open
 * when a path was lost, and the other boxes, to which a cut box's failures say nothing.
 */
import { describe, expect, it } from "vitest";
import {
  ask,
  BUSY_MACHINE_TIMEOUT_MS,
  makeGeneration,
  waitFor,
  waitMs,
} from "./box.testkit.js";
import type { FleetBox } from "./fleet.testkit.js";
import {
  checkFirstTries,
  IN_TOUCH_MS,
  listRunTwice,
  sendFirstTries,
  startCuttableFleet,
} from "./lostPaths.testkit.js";

const COUNTED_MS = 2_500;

/** Takes the stand-in engine some seconds, longer than a lost path stays unnoticed. */
const LONG_DRAFT_EVENTS = 3_000;
const LONG_DEADLINE_MS = 20_000;

const countLines = ({ lines }: FleetBox, name: string) =>
  lines.filter(({ event }) => event === name).length;

/** Cuts the first boxes, lets something else fail while requests come, and checks the first tries. */
const runWithFailure = async (
  boxes: number,
  cutBoxes: number,
  fail: (started: Awaited<ReturnType<typeof startCuttableFleet>>) => unknown,
) => {
  const started = await startCuttableFleet(boxes);
  const { site, fleet, switches } = started;
  for (const one of switches.slice(0, cutBoxes)) one.cut("hang");
  await fail(started);
  const isCut = (index: number) => index < cutBoxes;
  const tries = await sendFirstTries(fleet, isCut, IN_TOUCH_MS + COUNTED_MS);
  checkFirstTries(tries);
  expect(listRunTwice(site)).toEqual([]);
  return started;
};

describe("first tries at boxes that lost their paths", () => {
  it(
    "are served while the store is silent, too",
    async () => {
      await runWithFailure(7, 3, ({ site }) => site.store.setMode("silent"));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "are served after one of the boxes that carry them ends",
    async () => {
      await runWithFailure(7, 3, async ({ fleet }) => {
        const last = fleet.pop()!;
        void waitMs(1_500).then(() => last.box.stop());
      });
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "are served at a box that starts while its paths are cut",
    async () => {
      const { fleet, switches, start } = await startCuttableFleet(3);
      switches[3]!.cut("hang");
      const tries = await sendFirstTries(
        [await start(), ...fleet],
        (index) => index === 0,
        IN_TOUCH_MS + COUNTED_MS,
      );
      checkFirstTries(tries);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "use the box's own paths again after the cut, and nothing is lost at the turn",
    async () => {
      const { fleet, switches } = await runWithFailure(3, 1, () => undefined);
      const [cut] = fleet;
      switches[0]!.heal();
      const turn = await sendFirstTries(fleet, () => false, 3_000);
      expect(turn.filter(({ answer }) => answer.status !== 200)).toEqual([]);
      await waitFor(
        () => countLines(cut!, "path_regained") === countLines(cut!, "path_lost"),
      );
      const carried = countLines(cut!, "carried");
      await sendFirstTries(fleet, () => false, 500);
      expect(countLines(cut!, "carried")).toBe(carried);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "are carried to the only server whose path is lost, and sent to the others directly",
    async () => {
      const { site, fleet, switches } = await startCuttableFleet(3);
      const lost = site.services[0]!;
      switches[0]!.cut("reset", [lost.address]);
      await sendFirstTries(fleet.slice(0, 1), () => false, 1_000);
      const { lines } = fleet[0]!;
      const carried = lines.filter(({ event }) => event === "carried");
      expect(carried.length).toBeGreaterThan(0);
      expect(new Set(carried.map(({ server }) => server)).size).toBe(1);
      expect(countLines(fleet[0]!, "path_all_lost")).toBe(0);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});

describe("a stream whose path is lost while it is open", () => {
  it.each(["hang", "refuse_new"] as const)(
    "is delivered whole from one run where its engine still runs it, connections %s",
    async (form) => {
      const { site, fleet, switches } = await startCuttableFleet(3);
      const box = fleet[0]!;
      let hasBegun = false;
      const answered = ask(box.ports, {
        path: "/draft/long",
        headers: makeGeneration(300, LONG_DRAFT_EVENTS),
        deadlineMs: LONG_DEADLINE_MS,
        onData: () => {
          hasBegun = true;
        },
      });
      await waitFor(() => hasBegun);
      switches[0]!.cut(form);
      // Requests of other clients find out that the paths are lost.
      const noise = sendFirstTries(fleet, () => false, 2_000);
      const answer = await answered;
      await noise;
      expect({ status: answer.status, isWhole: answer.isWhole }).toEqual({
        status: 200,
        isWhole: true,
      });
      const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
      expect(ids).toEqual(ids.map((_, i) => i + (ids[0] ?? 0)));
      expect(ids).toHaveLength(LONG_DRAFT_EVENTS);
      expect(listRunTwice(site)).toEqual([]);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});

describe("servers that are silent for a second to all boxes", () => {
  it(
    "lose no request, are not taken to have ended or left, and get work again",
    async () => {
      const { site, fleet, switches } = await startCuttableFleet(3);
      const page = site.services[0]!;
      const addresses = [page.address, site.engines[0]!.address];
      const first = sendFirstTries(fleet, () => false, 2_500);
      await waitMs(500);
      for (const one of switches) one.cut("hang", addresses);
      await waitMs(1_000);
      for (const one of switches) one.heal();
      expect((await first).filter(({ answer }) => answer.status !== 200)).toEqual([]);
      const received = page.listReceived().length;
      await sendFirstTries(fleet, () => false, 3_000);
      expect(page.listReceived().length).toBeGreaterThan(received);
      for (const box of fleet) {
        expect(countLines(box, "server_leaving")).toBe(0);
        expect(countLines(box, "server_broke_off")).toBe(0);
        expect(countLines(box, "path_regained")).toBe(countLines(box, "path_lost"));
      }
      expect(listRunTwice(site)).toEqual([]);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});

describe("failures of a box that lost its paths", () => {
  it(
    "are not reported to the other boxes, and end no server in their records",
    async () => {
      const { site, fleet, switches } = await startCuttableFleet(3);
      const [cut, ...others] = fleet;
      const open = Array.from({ length: 6 }, (_, i) =>
        ask(cut!.ports, { path: `/draft/open-${i}`, headers: makeGeneration(300, 200) }),
      );
      await waitFor(() => site.engines.some((engine) => engine.countRunning() > 0));
      switches[0]!.cut("reset");
      await sendFirstTries(fleet, () => false, 1_500);
      await Promise.all(open);
      const broken = cut!.lines.filter(({ event }) => event === "server_broke");
      expect(broken.length).toBeGreaterThan(0);
      expect(broken.filter(({ verdict }) => verdict === "ended")).toEqual([]);
      for (const box of fleet) {
        expect(countLines(box, "server_broke_off")).toBe(0);
        expect(countLines(box, "request_blocked")).toBe(0);
      }
      for (const box of others) expect(countLines(box, "server_unreachable")).toBe(0);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
