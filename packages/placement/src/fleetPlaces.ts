/**
 * This box's place in the list of all boxes, and its part of a bound that all of them share. While the list changes, others may not
 * have heard of the change: the parts of two lists together could exceed the bound, so the smaller of the two counts for a while.
 */
import type { Clock } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computeFleetShare, type FleetPart } from "./computeFleetShare.js";

/** A box's place in the list of all boxes. */
export type FleetPlace = Pick<FleetPart, "rank" | "boxes">;

/** A bound that all boxes share at one server. */
export type SharedBound = Readonly<{
  /** What all boxes together may do; its fraction is left out. */
  whole: number;
  server: ServerId;
  /** Whether the first boxes of the list do it for all others. */
  isPlacedByFirst: boolean;
}>;

/** The places of one box. */
export type FleetPlaces = Readonly<{
  /** The list of all boxes has been read. */
  setPlace: (place: FleetPlace) => void;
  /** This box's part; none until its first place is settled. */
  computePart: (bound: SharedBound) => number;
}>;

/**
 * How long a box goes on with the smaller of two parts when its place in the list changes. A change reaches all boxes within some
 * 600 ms.
 */
const HELD_MS = 3_000;

type KeptPlace = Readonly<{ place: FleetPlace; until: number }>;

/** Creates the places; there is none yet. */
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
      const until = clock.monotonic() + HELD_MS;
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
