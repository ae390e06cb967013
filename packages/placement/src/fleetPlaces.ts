/**
 * This box's position in the list of all boxes, and its part of bounds that all boxes share.
 *
 * While the list changes, some boxes still have the old one. Parts from two lists could together
 * exceed a bound, so for a while a box uses the smaller of its two parts.
 */
import type { Clock } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computeFleetShare, type FleetPart } from "./computeFleetShare.js";

/** A box's position in the list of all boxes. */
export type FleetPlace = Pick<FleetPart, "rank" | "boxes">;

/** A bound for one server that all boxes share. */
export type SharedBound = Readonly<{
  /** What all boxes together may send; fractions are dropped. */
  whole: number;
  server: ServerId;
  /** Whether the first boxes of the list send for all others. */
  isPlacedByFirst: boolean;
}>;

/** The positions of one box, present and recent. */
export type FleetPlaces = Readonly<{
  /** Sets the position after the list of all boxes was read. */
  setPlace: (place: FleetPlace) => void;
  /** Returns this box's part; 0 until its first position has settled. */
  computePart: (bound: SharedBound) => number;
}>;

/**
 * How long a box uses the smaller of two parts after its position has changed, and sends nothing
 * after its first position. A change reaches all boxes within about 600 ms.
 */
const SETTLING_MS = 3_000;

type KeptPlace = Readonly<{ place: FleetPlace; until: number }>;

/** Creates the positions, with none set. */
export const createFleetPlaces = (clock: Pick<Clock, "monotonic">): FleetPlaces => {
  let place: FleetPlace | undefined;
  let settledAt = Infinity;
  let earlier: readonly KeptPlace[] = [];

  const listPlaces = (): readonly FleetPlace[] => {
    const now = clock.monotonic();
    earlier = earlier.filter(({ until }) => until > now);
    return [...earlier.map((kept) => kept.place), ...(place ? [place] : [])];
  };

  return {
    setPlace: (changed) => {
      const isSame = place?.rank === changed.rank && place.boxes === changed.boxes;
      if (isSame) return;
      const until = clock.monotonic() + SETTLING_MS;
      if (place) earlier = [...earlier, { place, until }];
      else settledAt = until;
      place = changed;
    },
    computePart: ({ whole, server, isPlacedByFirst }) => {
      if (clock.monotonic() < settledAt) return 0;
      const shares = listPlaces().map((one) =>
        computeFleetShare(whole, { ...one, isPlacedByFirst }, server),
      );
      return Math.min(...shares);
    },
  };
};
