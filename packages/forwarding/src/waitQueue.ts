/**
 * Where generations wait at the box while every engine is full: in an engine's own queue they would take the place of
 * runs that have to move, make runs give way, and could not go to an engine that comes meanwhile.
 */
import type { Clock, Ms, ServiceName, Timer } from "@stairgauge/common";

/** A request that waits. */
export type Waiting = Readonly<{
  service: ServiceName;
  /** Rank, 0 first. */
  tier: number;
  /** Time at which it is placed wherever there is least to wait. */
  until: Ms;
  /** Places it if there is room; false when it has to go on waiting. */
  attempt: () => boolean;
  /** Places it although there is none. */
  placeAnyway: () => void;
}>;

/** The requests that wait at one box. */
export type WaitQueue = Readonly<{
  /** Takes a request in; the function returned takes it out again. */
  add: (waiting: Waiting) => () => void;
  /** Whether a newcomer would pass one that waits. */
  hasAhead: (service: ServiceName, tier: number) => boolean;
  count: () => number;
}>;

/** Runs end and engines come and go all the time; a look costs a few choices of an engine. */
const LOOK_INTERVAL_MS = 30 as Ms;

/** Creates an empty room. */
export const createWaitQueue = (clock: Clock): WaitQueue => {
  /** In the order of arrival. */
  const waiting = new Set<Waiting>();
  let timer: Timer | undefined;

  const listInOrder = () => [...waiting].sort((a, b) => a.tier - b.tier);

  /** The first of a service that finds no room keeps all behind it waiting, so that none is passed for ever. */
  const placeWhoFits = () => {
    const full = new Set<ServiceName>();
    for (const one of listInOrder()) {
      if (full.has(one.service)) continue;
      if (one.attempt()) waiting.delete(one);
      else full.add(one.service);
    }
  };
  const placeWhoIsDue = () => {
    const now = clock.monotonic();
    for (const one of listInOrder()) {
      if (now < one.until) continue;
      waiting.delete(one);
      one.placeAnyway();
    }
  };
  const look = () => {
    timer = undefined;
    placeWhoFits();
    placeWhoIsDue();
    schedule();
  };
  const schedule = () => {
    if (waiting.size > 0) timer ??= clock.setTimer(LOOK_INTERVAL_MS, look);
  };

  return {
    add: (one) => {
      waiting.add(one);
      schedule();
      return () => void waiting.delete(one);
    },
    hasAhead: (service, tier) =>
      [...waiting].some((one) => one.service === service && one.tier <= tier),
    count: () => waiting.size,
  };
};
