/**
 * Decides how many requests a box that lacks processor time works on at once. The limit is learned: it shrinks while
 * the event loop is never idle and grows while it is calm, so it follows what the requests cost and what the box
 * gets. A stream counts for as long as it lasts, which bounds the work that it still brings. Pure.
 */
import {
  CALM_SHARE,
  INTAKE_SHRINKAGE,
  LATEST_WEIGHT,
  LONG_TURN_MS,
  MAX_INTAKE_GROWTH,
  MIN_INTAKE,
  SHORT_SHARE,
  SHORT_TURN_MS,
} from "./constants.js";

/** A limit, and what the event loop did under it: means of the last windows. */
export type IntakeLimit = Readonly<{
  maxOpen: number;
  busyShare: number;
  turnTime: number;
}>;

/** What one window showed. */
export type IntakeWindow = Readonly<{
  busyShare: number;
  turnTime: number;
  /** Requests that are open at the end of the window. */
  open: number;
  /** Whether connections were turned away in it. */
  isHeldBack: boolean;
}>;

const computeSmaller = (maxOpen: number): number =>
  Math.max(MIN_INTAKE, Math.floor(maxOpen * INTAKE_SHRINKAGE));

/** Computes the first limit of a box that has just become short of processor time. */
export const computeFirstLimit = ({
  open,
  busyShare,
  turnTime,
}: Omit<IntakeWindow, "isHeldBack">): IntakeLimit => ({
  maxOpen: computeSmaller(open),
  busyShare,
  turnTime,
});

const computeMean = (before: number, latest: number): number =>
  before + LATEST_WEIGHT * (latest - before);

/** Computes the limit after one more window. */
export const computeNextLimit = (
  limit: IntakeLimit,
  { open, isHeldBack, ...latest }: IntakeWindow,
): IntakeLimit => {
  const busyShare = computeMean(limit.busyShare, latest.busyShare);
  const turnTime = computeMean(limit.turnTime, latest.turnTime);
  const isTooMuch = busyShare >= SHORT_SHARE || turnTime >= LONG_TURN_MS;
  if (isTooMuch)
    return {
      maxOpen: computeSmaller(Math.min(limit.maxOpen, open)),
      busyShare,
      turnTime,
    };
  const isCalm = busyShare < CALM_SHARE && turnTime < SHORT_TURN_MS;
  const growth = Math.min(MAX_INTAKE_GROWTH, CALM_SHARE / busyShare);
  const maxOpen =
    isCalm && isHeldBack ? Math.ceil(limit.maxOpen * growth) : limit.maxOpen;
  return { maxOpen, busyShare, turnTime };
};
