/** Creates what a box knows of the configuration, and how recently it was confirmed. */
import {
  toBoottimeClock,
  type Clock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { ConfigurationView } from "@stairgauge/forwarding";
import {
  createConfigurationHolder,
  type ConfigurationHolder,
  type ServiceSpec,
} from "@stairgauge/routing";
import type { BoxSettings } from "@stairgauge/settings";
import { computeTiming } from "./createFollowedTables.js";
import { createConfigurationView } from "./viewConfiguration.js";

/** What a box knows of the configuration. */
export type Knowledge = Readonly<{
  /** A clock that goes on while the machine is suspended; ages are measured by it. */
  agingClock: Clock;
  holder: ConfigurationHolder;
  configuration: ConfigurationView;
  findService: (service: ServiceName) => ServiceSpec | undefined;
  isEngineService: (service: ServiceName) => boolean;
  /** Longest pause between events that every route allows; undefined if no route names one. */
  getGapTarget: () => Ms | undefined;
  /** Longest time of one answer of the streams that clients may take up; undefined if no route has such. */
  getLongestStream: () => Ms | undefined;
  /** Whether this box has lost the store. */
  isOutOfTouch: () => boolean;
  /** Whether new clients may be sent to this box. */
  isCurrent: () => boolean;
}>;

/**
 * Keys are refused this long before the bound, so that a slow turn of the event loop doesn't
 * exceed it.
 */
const KEY_MARGIN_MS = 300;

/**
 * Age of the configuration, in configuration waits, beyond which the store counts as out of
 * reach. With the store in reach the configuration is at most one wait old when it is confirmed
 * (two if another box relays it), and it is confirmed again one wait later.
 */
const OUT_OF_TOUCH_WAITS = 3.2;

/** Maximum age of a configuration by which keys are still accepted. */
const computeAcceptWithin = (bounds: BoxSettings["bounds"]): Ms =>
  (bounds.isKeyRemovalStrict ? bounds.keyRemovalMs - KEY_MARGIN_MS : Infinity) as Ms;

/** Creates it; no configuration is known. */
export const createKnowledge = (settings: BoxSettings, clock: Clock): Knowledge => {
  const agingClock = toBoottimeClock(clock);
  const holder = createConfigurationHolder({
    denyWithin: settings.bounds.configurationMs as Ms,
    acceptWithin: computeAcceptWithin(settings.bounds),
  });
  const configuration = createConfigurationView(holder, agingClock);
  const outOfTouchAge = computeTiming(settings).wait * OUT_OF_TOUCH_WAITS;
  const findService = (service: ServiceName) => holder.getIndex()?.findService(service);
  return {
    agingClock,
    holder,
    configuration,
    findService,
    isEngineService: (service) => findService(service)?.engine !== undefined,
    getGapTarget: () => holder.getIndex()?.shortestPauseAim,
    getLongestStream: () => holder.getIndex()?.longestStream,
    isOutOfTouch: () => configuration.getAge() > outOfTouchAge,
    isCurrent: () => {
      const freshness = configuration.getFreshness();
      return freshness === "current" || freshness === "ageing";
    },
  };
};
