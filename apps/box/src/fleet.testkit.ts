/** Test helpers that start several boxes in front of one site. */
import { startBox, waitFor, waitUntilRead, type BoxChanges } from "./box.testkit.js";

export type FleetBox = Awaited<ReturnType<typeof startBox>>;

export type FleetOptions = Readonly<{
  store: string;
  boxes: number;
  /** Number of servers that each box must have read. */
  servers: number;
  changes?: BoxChanges;
}>;

/**
 * Key removal is not strict, since a busy machine may pause a box for longer than its
 * configuration stays valid for keys.
 */
const SETTINGS: BoxChanges = { isKeyRemovalStrict: false };

/** Starts the boxes and waits until they are linked. The returned `start` adds one more. */
export const startFleet = async ({ store, boxes, servers, changes }: FleetOptions) => {
  let started = 0;
  const start = async (): Promise<FleetBox> => {
    started += 1;
    const box = await startBox(store, `box-${started}`, { ...SETTINGS, ...changes });
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
