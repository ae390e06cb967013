/**
 * Chooses which boxes the others are linked to. In a full mesh, links and traffic grow with the square of the number of boxes: at
 * 195 boxes, each held 388 sessions and 72 MB. So all boxes of a large site are linked to a few of them, the hubs, and to no other.
 * The hubs are the first reachable boxes in the order of `rankByCapacity`; the loss of one moves its role to the next. Pure.
 */
import type { BoxName } from "@stairgauge/common";
import { rankByCapacity } from "./rankStoreReaders.js";
import type { Member } from "./types.js";

/** Up to this many boxes form a full mesh: it takes fewer messages, and none is delayed by a second hop. */
const MAX_MESH_BOXES = 12;

/** Hubs of a larger site: two may be lost or cut off at once, and the other two still have the updates of all boxes. */
const MIN_HUBS = 4;

/** Boxes that one hub exchanges updates and notices with, similar to the boxes that one store reader serves. */
const BOXES_PER_HUB = 40;

/** Links that a box opens to others, whatever the size of the site; a session takes some 70 kB at either end. */
export const MAX_LINKS = 16;

/** Whether a site with this many boxes has hubs, which place generations for the other boxes. */
export const hasHubs = (boxes: number): boolean => boxes > MAX_MESH_BOXES;

/** Number of hubs at a site with this many boxes; in a full mesh, every box is one. */
export const countHubs = (boxes: number): number => {
  if (!hasHubs(boxes)) return boxes;
  return Math.min(MAX_LINKS, Math.max(MIN_HUBS, Math.ceil(boxes / BOXES_PER_HUB)));
};

/** Input of `chooseLinks`. */
export type LinkChoice = Readonly<{
  own: BoxName;
  /** All boxes, this one included, in the order of `rankByCapacity`. */
  ranked: readonly BoxName[];
  /** The link to the box has been down for a while: the next box is linked to in addition. */
  isFailing: (box: BoxName) => boolean;
  /** The link to the box has failed for long: the box is not linked to for now. */
  isAvoided: (box: BoxName) => boolean;
}>;

/** Returns the boxes to link to: the hubs, and for each failing one the next box in the order. */
export const chooseLinks = (choice: LinkChoice): readonly BoxName[] => {
  const { own, ranked, isFailing, isAvoided } = choice;
  const hubsWanted = countHubs(ranked.length);
  const chosen: BoxName[] = [];
  let hubs = 0;
  for (const box of ranked) {
    if (hubs >= hubsWanted || chosen.length >= MAX_LINKS) break;
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

/** Returns the hubs among this box and those that it can reach; `boxes` is the number of all boxes. */
export const listHubs = (reached: readonly Member[], boxes: number): readonly BoxName[] =>
  rankByCapacity(reached).slice(0, countHubs(boxes));
