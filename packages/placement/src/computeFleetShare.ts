/**
 * One box's part of what all boxes together may do to a server: send it requests while it is cold, or as many as it names. No box asks
 * another for it: all know the same list of boxes, and the parts of that list add up to the bound whichever of the boxes live,
 * freeze, or disagree about who places for whom. Pure.
 */
import type { ServerId } from "@stairgauge/directory";

/** A box's place in the list of all boxes, which all of them order alike. */
export type FleetPart = Readonly<{
  /** From 0. */
  rank: number;
  boxes: number;
  /** Whether the first boxes of the list place for all others, or each box places by itself. */
  isPlacedByFirst: boolean;
}>;

/**
 * Part of the bound that the first box takes where it places for all, and of the rest that the next takes, and so on: the
 * first gives a server nine tenths of what it bears cold, and the second still a quarter when the first is gone.
 */
const FIRST_PART = 0.7;

/** Boxes that may come to place for all others. */
const MAX_PLACERS = 4;

const computePlacerPart = (bound: number, rank: number): number =>
  Math.floor(bound * FIRST_PART * (1 - FIRST_PART) ** rank);

const PLACER_RANKS = Array.from({ length: MAX_PLACERS }, (_, rank) => rank);

const computeRest = (bound: number, { boxes, isPlacedByFirst }: FleetPart): number => {
  if (!isPlacedByFirst) return bound;
  const ranks = PLACER_RANKS.filter((rank) => rank < boxes);
  return ranks.reduce((rest, rank) => rest - computePlacerPart(bound, rank), bound);
};

/** Turns the order by server, so that the odd ones out are other boxes at each server. */
const computeTurn = (server: ServerId): number => {
  let turn = 0;
  for (const sign of server) turn = (turn * 31 + sign.charCodeAt(0)) >>> 0;
  return turn;
};

/** Divides a whole number among the boxes; where there are more boxes than that, so many of them get one each. */
const computeEqualPart = (
  whole: number,
  { rank, boxes }: FleetPart,
  server: ServerId,
): number => {
  const all = Math.floor(whole / boxes);
  const position = (rank + computeTurn(server)) % boxes;
  return all + (position < whole % boxes ? 1 : 0);
};

/** Works one box's part of the bound out, a whole number; `bound` counts what all boxes together may do in some span of time. */
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
