/**
 * Which boxes the others are linked to. In a mesh the links, and what goes over them, grow with the square of the boxes: at 195
 * boxes each held 388 sessions and 72 MB. So a few boxes, the hubs, are linked to by all others, and those to nobody else. Every
 * box can be one: the first in the order of carriers whose links stand are, and the loss of one moves its part to the next. Pure.
 */
import type { BoxName } from "@stairgauge/common";
import { rankByCapacity } from "./rankStoreReaders.js";
import type { Member } from "./types.js";

/** Up to so many boxes each is linked to all others: fewer messages, and none of them late by a second way. */
const MESH_BOXES = 12;

/** Hubs of a site that is larger: two may be lost or out of touch at once, and two go on with what all have told them. */
const MIN_HUBS = 4;

/** Boxes that one hub hears and tells, as those that one hearer of the store does. */
const BOXES_PER_HUB = 40;

/** Links that a box holds to others, whatever the size; a session takes some 70 kB at either end. */
export const MAX_LINKS = 16;

/** Whether a site of so many boxes has hubs that place generations for the others. */
export const hasHubs = (boxes: number): boolean => boxes > MESH_BOXES;

/** How many hubs a site of so many boxes has. */
export const countHubs = (boxes: number): number => {
  if (!hasHubs(boxes)) return boxes;
  return Math.min(MAX_LINKS, Math.max(MIN_HUBS, Math.ceil(boxes / BOXES_PER_HUB)));
};

/** What a choice of links is made from. */
export type LinkChoice = Readonly<{
  own: BoxName;
  /** All boxes, this one included, in the order of carriers. */
  ranked: readonly BoxName[];
  /** A link to it has not come up for a while: another is linked to in its stead, beside it. */
  isFailing: (box: BoxName) => boolean;
  /** It has failed for long, and is not tried for now. */
  isAvoided: (box: BoxName) => boolean;
}>;

/** Names the boxes to be linked to: the hubs, and for each that cannot be reached the next in the order. */
export const chooseLinks = (choice: LinkChoice): readonly BoxName[] => {
  const { own, ranked, isFailing, isAvoided } = choice;
  const wanted = countHubs(ranked.length);
  const chosen: BoxName[] = [];
  let hubs = 0;
  for (const box of ranked) {
    if (hubs >= wanted || chosen.length >= MAX_LINKS) break;
    if (box === own) {
      hubs += 1;
      continue;
    }
    if (isAvoided(box)) continue;
    chosen.push(box);
    if (!isFailing(box)) hubs += 1;
  }
  return chosen;
};

/** Names the hubs among the boxes that can be reached and this one; `boxes` are all there are. */
export const listHubs = (reached: readonly Member[], boxes: number): readonly BoxName[] =>
  rankByCapacity(reached).slice(0, countHubs(boxes));
