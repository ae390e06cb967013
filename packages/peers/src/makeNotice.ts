/** Makes what a box tells those that are linked to it. */
import { NO_CRASH_UPDATE } from "@stairgauge/crashes";
import { NO_LIMIT_UPDATE } from "@stairgauge/limits";
import type { HubNotice, SharedUnsettledRows } from "./types.js";

/** Makes a notice of what is given and of nothing else. */
export const makeNotice = (told: Partial<HubNotice>): HubNotice => ({
  leaving: [],
  crashes: NO_CRASH_UPDATE,
  limits: NO_LIMIT_UPDATE,
  unsettled: [],
  ...told,
});

/** Whether any row of a table counts against the store's word. */
export const hasUnsettled = ({ kept, withheld }: SharedUnsettledRows): boolean =>
  kept.length + withheld.length > 0;

/** Whether there is anything in it. */
export const hasNews = ({ leaving, crashes, limits, unsettled }: HubNotice): boolean =>
  unsettled.length > 0 ||
  leaving.length + crashes.ends.length + crashes.served.length > 0 ||
  limits.named.length + limits.lifted.length > 0;
