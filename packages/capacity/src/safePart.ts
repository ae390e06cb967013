/**
 * The slots that a box may use while no admitting box answers: its part of the slots of each server, and
 * at least one slot per service unless its servers are brittle. The parts of all boxes add up to the
 * slots; the boxes that have no part at any server add one request each. Pure.
 */
import type { ServerId } from "@stairgauge/directory";
import type { FleetPlaces } from "@stairgauge/placement";
import type { SlotsEntry } from "./usableSlots.js";

/** Inputs of `computeSafePart`. */
export type SafePartInputs = Readonly<{
  /** The servers of one service. */
  servers: readonly SlotsEntry[];
  places: Pick<FleetPlaces, "computePart">;
  /** Number of this box's open requests at a server. */
  countOpen: (server: ServerId) => number;
  /** Whether the service's servers fall over if they reject requests. */
  isBrittle: boolean;
}>;

/** This box's safe part of a service. */
export type SafePart = Readonly<{
  /** Slots of the service that this box may use. */
  part: number;
  /** This box's open requests at the service. */
  open: number;
  /** Servers that this box may send one more request to. */
  usable: ReadonlySet<ServerId>;
}>;

/** Slots that a box has at a service at least, so that its clients are served while it is cut off. */
const MIN_PART = 1;

/** Computes this box's safe part of a service, and where it is not used up. */
export const computeSafePart = (inputs: SafePartInputs): SafePart => {
  const { servers, places, countOpen, isBrittle } = inputs;
  const minPart = isBrittle ? 0 : MIN_PART;
  const parts = servers.map(({ id, slots }) => ({
    id,
    part: places.computePart({ whole: slots, server: id, isPlacedByFirst: false }),
  }));
  const sum = parts.reduce((total, { part }) => total + part, 0);
  const open = servers.reduce((total, { id }) => total + countOpen(id), 0);
  const usable =
    sum < minPart
      ? parts.filter(() => open < minPart)
      : parts.filter(({ id, part }) => countOpen(id) < part);
  return {
    part: Math.max(minPart, sum),
    open,
    usable: new Set(usable.map(({ id }) => id)),
  };
};
