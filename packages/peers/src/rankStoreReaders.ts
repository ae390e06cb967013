/**
 * Chooses the store readers: the boxes that keep long-polling calls to the store open and pass its answers on. All boxes that
 * have read the same list of members choose alike without communication; the loss of a box moves its role to the next. Pure.
 */
import { createHash } from "node:crypto";
import type { BoxName, DataHallName } from "@stairgauge/common";
import type { Member } from "./types.js";

const hashToNumber = (text: string): number =>
  createHash("sha1").update(text).digest().readUInt32BE(0);

/** Ranks boxes by a hash of the salt and the name: a pseudo-random order that is the same on every box. */
export const rankByHash = (boxes: readonly BoxName[], salt: string): readonly BoxName[] =>
  [...new Set(boxes)]
    .map((box) => ({ box, weight: hashToNumber(`${salt} ${box}`) }))
    .sort((a, b) => b.weight - a.weight || (a.box < b.box ? -1 : 1))
    .map(({ box }) => box);

/**
 * Share of the highest capacity from which a box counts as strong. Behind a link of 7 Mbit/s, a configuration of 30 kB took
 * over a second to reach 39 boxes, and three of them in a row arrived three seconds late.
 */
const STRONG_CAPACITY_SHARE = 0.5;

/**
 * Boxes per store reader. A configuration of 30 kB, which is 40 kB in the answer, reaches all of them within 0.5 s over 70 Mbit/s,
 * the link of strong boxes at users' sites. Further store readers burden the store: each of five made some 150 calls in 34 s.
 */
const MAX_BOXES_PER_READER = 100;

/**
 * Takes boxes from each data hall in turn, keeping the order within each, so that the loss of a hall leaves a store reader. In a
 * purely random order, both store readers were in one hall at 15 of 100 generated sites with eight strong boxes in four halls.
 */
export const sortByHallsInTurn = (
  boxes: readonly BoxName[],
  members: readonly Member[],
): readonly BoxName[] => {
  const hallByBox = new Map(members.map(({ box, dataHall }) => [box, dataHall]));
  const countByHall = new Map<DataHallName | undefined, number>();
  const turns = boxes.map((box) => {
    const hall = hallByBox.get(box);
    const turn = countByHall.get(hall) ?? 0;
    countByHall.set(hall, turn + 1);
    return { box, turn };
  });
  return turns.sort((a, b) => a.turn - b.turn).map(({ box }) => box);
};

/**
 * Ranks boxes for the roles of hub and store reader: strong ones first, from each data hall in turn, and otherwise in a
 * pseudo-random order that is the same on every box.
 */
export const rankByCapacity = (members: readonly Member[]): readonly BoxName[] => {
  const maxCapacity = Math.max(...members.map(({ capacity }) => capacity));
  const isStrong = ({ capacity }: Member) =>
    capacity >= maxCapacity * STRONG_CAPACITY_SHARE;
  const rank = (some: readonly Member[]) => {
    const boxes = some.map(({ box }) => box);
    return sortByHallsInTurn(rankByHash(boxes, "hears"), some);
  };
  const strong = rank(members.filter(isStrong));
  const weak = rank(members.filter((member) => !isStrong(member)));
  return [...strong, ...weak];
};

/** Number of store readers: at least `least`, and more at a site of many boxes. */
export const countStoreReaders = (boxes: number, least: number): number =>
  Math.max(least, Math.ceil(boxes / MAX_BOXES_PER_READER));

/** Returns the store readers among a box and those it is linked to; `boxes` is the number of all boxes. */
export const rankStoreReaders = (
  members: readonly Member[],
  least: number,
  boxes = members.length,
): readonly BoxName[] =>
  rankByCapacity(members).slice(0, countStoreReaders(boxes, least));

/** Ranks store readers in the order in which one box asks them. The order differs by box, which spreads the load. */
export const rankForAsker = (
  storeReaders: readonly BoxName[],
  asker: BoxName,
): readonly BoxName[] => rankByHash(storeReaders, asker);
