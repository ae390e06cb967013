/**
 * Decides whether a plain request without a free slot waits or is refused at once.
 *
 * Load: sustained arrivals of twice the capacity. A queue in order of arrival grows until every
 * answer comes at the deadline, so that all are late; refusing at once what would be late keeps the
 * answers of the others within their target, and tells the refused clients at a time when they can
 * still do something else. Without overload a late request is only late, and waits. Pure.
 */
import type { Ms } from "@stairgauge/common";
import { MIN_REMAINING_SHARE, OVERLOAD_SHARE, PLANNED_AIM_SHARE } from "./constants.js";
import type { AdmissionRefusal, PlainEntry } from "./types.js";

/** Inputs of the decision; rates are per ms. */
export type WaitInputs = Readonly<{
  now: Ms;
  entry: Pick<PlainEntry, "arrivedAt" | "aimAt" | "endsAt" | "workMs">;
  position: number;
  /** Slots that become free, undefined if not known. */
  rate: number | undefined;
  /** Arrivals of more urgent tiers, which go before the request also if they come later. */
  arrivalsAbove: number;
  /** Arrivals of the request's tier and of more urgent ones. */
  arrivalsUpTo: number;
}>;

/** The decision, with the time that the request is expected to wait, undefined if not known. */
export type WaitDecision = Readonly<{
  refusal: AdmissionRefusal | undefined;
  expectedWait: Ms | undefined;
}>;

/** Slots per ms that are left by requests of more urgent tiers. */
export const computeRemainingRate = (rate: number, arrivalsAbove: number): number =>
  Math.max(rate - arrivalsAbove, rate * MIN_REMAINING_SHARE);

/** Decides about one request. */
export const decideWaiting = (inputs: WaitInputs): WaitDecision => {
  const { now, entry, position, rate, arrivalsAbove, arrivalsUpTo } = inputs;
  const { arrivedAt, aimAt, endsAt, workMs } = entry;
  const expectedWait =
    rate === undefined
      ? undefined
      : (((position + 1) / computeRemainingRate(rate, arrivalsAbove)) as Ms);
  const answerAt = now + (expectedWait ?? 0) + workMs;
  if (answerAt > endsAt) return { refusal: "too_late", expectedWait };
  const plannedAim = arrivedAt + (aimAt - arrivedAt) * PLANNED_AIM_SHARE;
  const isOverload = rate !== undefined && arrivalsUpTo > rate * OVERLOAD_SHARE;
  // The request that goes next is not late by waiting: to refuse it would leave its slot to one that is later.
  const isBehindOthers = position > 0;
  const refusal =
    isOverload && isBehindOthers && answerAt > plannedAim ? "no_room" : undefined;
  return { refusal, expectedWait };
};
