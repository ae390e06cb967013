/**
 * Which boxes hold the long calls to the store and hand on what they hear. All boxes that know the same members rank
 * them alike without talk, and the loss of a box moves its part to the next. Pure.
 */
import { createHash } from "node:crypto";
import type { BoxName } from "@stairgauge/common";

const hashToNumber = (text: string): number =>
  createHash("sha1").update(text).digest().readUInt32BE(0);

/** Ranks boxes by a hash with the salt given: as good as drawn by lot, and drawn alike everywhere. */
export const rankByHash = (boxes: readonly BoxName[], salt: string): readonly BoxName[] =>
  [...new Set(boxes)]
    .map((box) => ({ box, weight: hashToNumber(`${salt} ${box}`) }))
    .sort((a, b) => b.weight - a.weight || (a.box < b.box ? -1 : 1))
    .map(({ box }) => box);

/** Names the boxes that hear the store, at most `count`. */
export const rankHearers = (
  members: readonly BoxName[],
  count: number,
): readonly BoxName[] => rankByHash(members, "hears").slice(0, count);

/** Puts hearers in the order in which one box asks them; boxes that ask are spread over them. */
export const rankForAsker = (
  hearers: readonly BoxName[],
  asker: BoxName,
): readonly BoxName[] => rankByHash(hearers, asker);
