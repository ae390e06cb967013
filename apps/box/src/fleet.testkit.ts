/** Several boxes, whole, that know each other and the servers of a site: what tests of fleets share. */
import { startBox, waitFor, waitUntilKnown, type BoxChanges } from "./box.testkit.js";

/** A box of a fleet. */
export type FleetBox = Awaited<ReturnType<typeof startBox>>;

/** Which boxes are started. */
export type FleetOptions = Readonly<{
  store: string;
  boxes: number;
  /** Servers that each of them has to know. */
  servers: number;
  changes?: BoxChanges;
}>;

/** Keys are not what these tests are about: a busy machine may hold a box up for longer than its knowledge of them lasts. */
const SETTINGS: BoxChanges = { isKeyRemovalStrict: false };

/** Starts the boxes, and waits until they know each other; `start` adds one more. */
export const startFleet = async ({ store, boxes, servers, changes }: FleetOptions) => {
  let started = 0;
  const start = async (): Promise<FleetBox> => {
    started += 1;
    const box = await startBox(store, `box-${started}`, { ...SETTINGS, ...changes });
    await waitUntilKnown(box.lines, servers);
    return box;
  };
  const fleet = await Promise.all(Array.from({ length: boxes }, start));
  await waitFor(() =>
    fleet.every(({ lines }) => {
      const told = lines.findLast(({ event }) => event === "peers");
      return told?.["boxes"] === boxes && Number(told["links"]) > 0;
    }),
  );
  return { fleet, start };
};
