/**
 * Which boxes hold the long calls to the store and hand on what they hear. All boxes that know the same members rank
 * them alike without talk, and the loss of a box moves its part to the next. Pure.
 */
import { createHash } from "node:crypto";
import type { BoxName, DataHallName } from "@stairgauge/common";
import type { Member } from "./types.js";

const hashToNumber = (text: string): number =>
  createHash("sha1").update(text).digest().readUInt32BE(0);

/** Ranks boxes by a hash with the salt given: as good as drawn by lot, and drawn alike everywhere. */
export const rankByHash = (boxes: readonly BoxName[], salt: string): readonly BoxName[] =>
  [...new Set(boxes)]
    .map((box) => ({ box, weight: hashToNumber(`${salt} ${box}`) }))
    .sort((a, b) => b.weight - a.weight || (a.box < b.box ? -1 : 1))
    .map(({ box }) => box);

/**
 * Share of the strongest box's capacity from which a box may hear for others. Behind a link of 7 Mbit/s a configuration of
 * 30 kB took over a second to reach 39 boxes, and three in a row came three seconds late.
 */
const STRONG_SHARE = 0.5;

/**
 * Boxes that ask one hearer: a configuration of 30 kB, 40 kB as it is told, goes to all of them within 0.5 s over 70 Mbit/s, which the
 * strong boxes of the users' sites have. Each of five hearers made some 150 calls to the store in 34 s.
 */
const MAX_ASKERS = 100;

/**
 * Takes from each data hall in turn, keeping the order within it, so that the loss of a hall leaves a box that hears the store: by lot
 * alone both stood in one hall at 15 of 100 sites drawn with eight strong boxes in four halls.
 */
const takeHallsInTurn = (
  boxes: readonly BoxName[],
  members: readonly Member[],
): readonly BoxName[] => {
  const hallOf = new Map(members.map(({ box, dataHall }) => [box, dataHall]));
  const taken = new Map<DataHallName | undefined, number>();
  const turns = boxes.map((box) => {
    const hall = hallOf.get(box);
    const turn = taken.get(hall) ?? 0;
    taken.set(hall, turn + 1);
    return { box, turn };
  });
  return turns.sort((a, b) => a.turn - b.turn).map(({ box }) => box);
};

/**
 * Puts boxes in the order in which they carry what all need to know: the strong ones first, those of each data hall in turn, by lot
 * among equals.
 */
export const rankByCapacity = (members: readonly Member[]): readonly BoxName[] => {
  const most = Math.max(...members.map(({ capacity }) => capacity));
  const isStrong = ({ capacity }: Member) => capacity >= most * STRONG_SHARE;
  const rank = (some: readonly Member[]) => {
    const boxes = some.map(({ box }) => box);
    return takeHallsInTurn(rankByHash(boxes, "hears"), some);
  };
  const strong = rank(members.filter(isStrong));
  const weak = rank(members.filter((member) => !isStrong(member)));
  return [...strong, ...weak];
};

/** How many boxes hear the store: at least `least`, and more where there are many to tell. */
export const countStoreReaders = (boxes: number, least: number): number =>
  Math.max(least, Math.ceil(boxes / MAX_ASKERS));

/** Names the boxes that hear the store, of those that a box is linked to and itself; `boxes` are all there are. */
export const rankStoreReaders = (
  members: readonly Member[],
  least: number,
  boxes = members.length,
): readonly BoxName[] =>
  rankByCapacity(members).slice(0, countStoreReaders(boxes, least));

/** Puts hearers in the order in which one box asks them; boxes that ask are spread over them. */
export const rankForAsker = (
  hearers: readonly BoxName[],
  asker: BoxName,
): readonly BoxName[] => rankByHash(hearers, asker);
