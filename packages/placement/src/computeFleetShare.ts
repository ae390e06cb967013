/**
 * Computes one box's part of what all boxes together may send to a server, while it is cold or has
 * named a limit.
 *
 * The boxes exchange no messages for this. All have the same list of boxes, and the parts of that
 * list add up to the bound even if some boxes are gone or frozen, or disagree about which boxes
 * place for others. Pure.
 */
import type { ServerId } from "@stairgauge/directory";

/** A box's position in the list of all boxes, which has the same order on every box. */
export type FleetPart = Readonly<{
  /** Index in the list, from 0. */
  rank: number;
  boxes: number;
  /** Whether the first boxes of the list place for all others, or each box places for itself. */
  isPlacedByFirst: boolean;
}>;

/**
 * Part of the bound that the first box gets if it places for all; the next box gets this part of
 * the rest, and so on. So the first box can give a server nine tenths of what it handles while
 * cold, and the second one a quarter if the first is gone.
 */
const FIRST_PLACER_PART = 0.7;

/** Number of boxes that may become the one that places for all others. */
const MAX_PLACERS = 4;

const computePlacerPart = (bound: number, rank: number): number =>
  Math.floor(bound * FIRST_PLACER_PART * (1 - FIRST_PLACER_PART) ** rank);

const PLACER_RANKS = Array.from({ length: MAX_PLACERS }, (_, rank) => rank);

const computeRest = (bound: number, { boxes, isPlacedByFirst }: FleetPart): number => {
  if (!isPlacedByFirst) return bound;
  const ranks = PLACER_RANKS.filter((rank) => rank < boxes);
  return ranks.reduce((rest, rank) => rest - computePlacerPart(bound, rank), bound);
};

/**
 * Computes an offset from the server id, so that the remainder of the division goes to different
 * boxes for each server.
 */
const computeOffset = (server: ServerId): number => {
  let offset = 0;
  for (const character of server) offset = (offset * 31 + character.charCodeAt(0)) >>> 0;
  return offset;
};

/**
 * Divides a whole number equally among the boxes. If it is smaller than the number of boxes, that
 * many boxes get one each.
 */
const computeEqualPart = (
  whole: number,
  { rank, boxes }: FleetPart,
  server: ServerId,
): number => {
  const base = Math.floor(whole / boxes);
  const position = (rank + computeOffset(server)) % boxes;
  return base + (position < whole % boxes ? 1 : 0);
};

/**
 * Computes one box's part of the bound, a whole number. `bound` is what all boxes together may send
 * in some span of time.
 */
export const computeFleetShare = (
  bound: number,
  part: FleetPart,
  server: ServerId,
): number => {
  const whole = Math.floor(bound);
  const rest = computeEqualPart(computeRest(whole, part), part, server);
  if (!part.isPlacedByFirst || part.rank >= MAX_PLACERS) return rest;
  return rest + computePlacerPart(whole, part.rank);
};
