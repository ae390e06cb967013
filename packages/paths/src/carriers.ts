/**
 * Chooses the box that carries a request: the one that carries the fewest of this box's requests, out of
 * those that did not refuse lately. Pure.
 */
import type { BoxName, Clock, Random } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { REFUSED_MS, SILENT_MS } from "./constants.js";

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
  /** Chooses a box that has not been tried; undefined if there is none. */
  choose: (server: ServerId, tried: ReadonlySet<BoxName>) => BoxName | undefined;
  /** Counts a request at its carrier until the returned function is called. */
  begin: (box: BoxName) => () => void;
  /** The box did not carry a request to the server: it is asked last for this server for a while. */
  recordRefused: (box: BoxName, server: ServerId) => void;
  /** The box sent nothing in time: it is asked last for all servers for a while. */
  recordSilent: (box: BoxName) => void;
}>;

/** Creates the choice; no box carries a request. */
export const createCarriers = (options: CarriersOptions): Carriers => {
  const { clock, random, listBoxes } = options;
  const carried = new Map<BoxName, number>();
  /** By box, or by box and server. */
  const lastUntil = new Map<string, number>();

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
      const ranked = listBoxes()
        .filter((box) => !tried.has(box))
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
    recordSilent: (box) => setLast(box, SILENT_MS),
  };
};
