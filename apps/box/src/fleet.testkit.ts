/** Test helpers that start several boxes in front of one site. */
import type { Clock } from "@stairgauge/common";
import { startBox, waitFor, waitUntilRead, type BoxChanges } from "./box.testkit.js";

export type FleetBox = Awaited<ReturnType<typeof startBox>>;

export type FleetOptions = Readonly<{
  store: string;
  boxes: number;
  /** Number of servers that each box must have read. */
  servers: number;
  changes?: BoxChanges;
  /** Clock of each box, by its number from 1; the machine's clock by default. */
  getClock?: (box: number) => Clock;
  /** Further differences of each box, by its number from 1. */
  getChanges?: (box: number) => BoxChanges;
  /** Further differences in the settings of box 1. */
  firstChanges?: BoxChanges;
}>;

/**
 * Key removal is not strict, since a busy machine may pause a box for longer than its
 * configuration stays valid for keys.
 */
const SETTINGS: BoxChanges = { isKeyRemovalStrict: false };

/** Starts the boxes and waits until they are linked. The returned `start` adds one more. */
export const startFleet = async (options: FleetOptions) => {
  const { store, boxes, servers, changes, getClock, getChanges, firstChanges } = options;
  let started = 0;
  const start = async (): Promise<FleetBox> => {
    started += 1;
    const number = started;
    const settings = {
      ...SETTINGS,
      ...changes,
      ...getChanges?.(number),
      ...(number === 1 && firstChanges),
    };
    const box = await startBox(store, `box-${number}`, settings, getClock?.(number));
    await waitUntilRead(box.lines, servers);
    return box;
  };
  const fleet = await Promise.all(Array.from({ length: boxes }, start));
  await waitFor(() =>
    fleet.every(({ lines }) => {
      const last = lines.findLast(({ event }) => event === "peers");
      return last?.["boxes"] === boxes && Number(last["links"]) > 0;
    }),
  );
  return { fleet, start };
};
