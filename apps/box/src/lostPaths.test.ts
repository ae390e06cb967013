/**
 * Guards the callers of boxes that lose their paths to all servers: their first tries are served as
 * often as those at other boxes, whatever the cut does to connections.
 */
import { describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import {
  checkFirstTries,
  IN_TOUCH_MS,
  listRunTwice,
  sendFirstTries,
  startCuttableFleet,
} from "./lostPaths.testkit.js";
import type { CutForm, PathSwitch } from "./pathSwitch.testkit.js";

const COUNTED_MS = 3_000;

const runCut = async (
  boxes: number,
  cutBoxes: readonly number[],
  applyCut: (one: PathSwitch) => void,
) => {
  const { site, fleet, switches } = await startCuttableFleet(boxes);
  for (const index of cutBoxes) applyCut(switches[index]!);
  const isCut = (index: number) => cutBoxes.includes(index);
  const tries = await sendFirstTries(fleet, isCut, IN_TOUCH_MS + COUNTED_MS);
  checkFirstTries(tries);
  expect(listRunTwice(site)).toEqual([]);
};

const countUpTo = (count: number) => Array.from({ length: count }, (_, i) => i);

describe("first tries at boxes that lost their paths to all servers", () => {
  const CASES: readonly (readonly [number, number, CutForm])[] = [
    [7, 3, "hang"],
    [7, 3, "reset"],
    [7, 3, "refuse_new"],
    [3, 1, "hang"],
    [7, 5, "hang"],
    [14, 6, "hang"],
    [14, 10, "reset"],
  ];
  it.each(CASES)(
    "are served as at the others: %i boxes, %i of them cut, connections %s",
    async (boxes, cut, form) => {
      await runCut(boxes, countUpTo(cut), (one) => one.cut(form));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
