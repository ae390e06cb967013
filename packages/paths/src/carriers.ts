/**
 * Chooses the box that carries a request: the one that carries the fewest of this box's requests, out of
 * those that did not refuse lately. Pure.
 */
import type { BoxName, Clock, Random } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { MAX_OFFERS, REFUSED_MS, SILENT_MS } from "./constants.js";

/** Options of the choice. */
export type CarriersOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  random: Pick<Random, "nextInt">;
  /** Whether any other box is known; asked before every request. */
  hasAny: () => boolean;
  /** Boxes that can be asked, without this one. */
  listBoxes: () => readonly BoxName[];
}>;

/** The carriers of one box's requests. */
export type Carriers = Readonly<{
  /** Whether there is any other box to ask. */
  hasAny: () => boolean;
  /**
   * Chooses a box that has not been tried; undefined if there is none, or if so many boxes have lost their paths to the
   * server a moment ago that no more are asked.
   */
  choose: (server: ServerId, tried: ReadonlySet<BoxName>) => BoxName | undefined;
  /** Counts a request at its carrier until the returned function is called. */
  begin: (box: BoxName) => () => void;
  /** The box did not carry a request to the server: it is asked last for this server for a while. */
  recordRefused: (box: BoxName, server: ServerId) => void;
  /** The box has lost its own path to the server: it is not asked for this server for a while. */
  recordPathLost: (box: BoxName, server: ServerId) => void;
  /** The box sent nothing in time: it is asked last for all servers for a while. */
  recordSilent: (box: BoxName) => void;
}>;

const NO_BOXES: ReadonlySet<BoxName> = new Set();

/** Creates the choice; no box carries a request. */
export const createCarriers = (options: CarriersOptions): Carriers => {
  const { clock, random, listBoxes } = options;
  const carried = new Map<BoxName, number>();
  /** By box, or by box and server. */
  const lastUntil = new Map<string, number>();
  /** Boxes without a path, by server, and until when that counts. */
  const pathLostUntil = new Map<ServerId, Map<BoxName, number>>();

  /** Returns the boxes without a path to the server; drops those that may have it again. */
  const listPathLost = (server: ServerId): ReadonlySet<BoxName> => {
    const boxes = pathLostUntil.get(server);
    if (!boxes) return NO_BOXES;
    const now = clock.monotonic();
    for (const [box, until] of boxes) if (until <= now) boxes.delete(box);
    if (boxes.size === 0) pathLostUntil.delete(server);
    return new Set(boxes.keys());
  };

  const setLast = (key: string, duration: number) => {
    const now = clock.monotonic();
    for (const [known, until] of lastUntil) if (until <= now) lastUntil.delete(known);
    lastUntil.set(key, now + duration);
  };
  const computeLastUntil = (box: BoxName, server: ServerId) =>
    Math.max(
      clock.monotonic(),
      lastUntil.get(box) ?? -Infinity,
      lastUntil.get(`${box} ${server}`) ?? -Infinity,
    );

  return {
    hasAny: options.hasAny,
    choose: (server, tried) => {
      const withoutPath = listPathLost(server);
      if (withoutPath.size >= MAX_OFFERS) return undefined;
      const ranked = listBoxes()
        .filter((box) => !tried.has(box) && !withoutPath.has(box))
        .map((box) => ({
          box,
          lastUntil: computeLastUntil(box, server),
          carried: carried.get(box) ?? 0,
        }));
      if (ranked.length === 0) return undefined;
      const earliest = Math.min(...ranked.map((one) => one.lastUntil));
      const usable = ranked.filter((one) => one.lastUntil === earliest);
      const fewest = Math.min(...usable.map((one) => one.carried));
      const best = usable.filter((one) => one.carried === fewest);
      return best[random.nextInt(0, best.length - 1)]!.box;
    },
    begin: (box) => {
      carried.set(box, (carried.get(box) ?? 0) + 1);
      let isOver = false;
      return () => {
        if (isOver) return;
        isOver = true;
        const left = carried.get(box)! - 1;
        if (left > 0) carried.set(box, left);
        else carried.delete(box);
      };
    },
    recordRefused: (box, server) => setLast(`${box} ${server}`, REFUSED_MS),
    recordPathLost: (box, server) => {
      const boxes = pathLostUntil.get(server) ?? new Map<BoxName, number>();
      pathLostUntil.set(server, boxes.set(box, clock.monotonic() + REFUSED_MS));
    },
    recordSilent: (box) => setLast(box, SILENT_MS),
  };
};
