/** Creates notices, which a box sends to those that are linked to it. */
import { NO_CRASH_UPDATE } from "@stairgauge/crashes";
import { NO_LIMIT_UPDATE } from "@stairgauge/limits";
import type { HubNotice, SharedUnsettledRows } from "./types.js";

/** Creates a notice from the given parts; the other parts are empty. */
export const makeNotice = (parts: Partial<HubNotice>): HubNotice => ({
  leaving: [],
  crashes: NO_CRASH_UPDATE,
  limits: NO_LIMIT_UPDATE,
  unsettled: [],
  ...parts,
});

/** Whether the box deviates from the restored store in any row of the table. */
export const hasUnsettled = ({ kept, withheld }: SharedUnsettledRows): boolean =>
  kept.length + withheld.length > 0;

/** Whether any part of the notice is not empty. */
export const hasContent = ({
  leaving,
  crashes,
  limits,
  unsettled,
  contended,
  paces = [],
}: HubNotice): boolean =>
  unsettled.length + paces.length > 0 ||
  (contended?.signs.length ?? 0) > 0 ||
  leaving.length + crashes.ends.length + crashes.served.length > 0 ||
  limits.named.length + limits.lifted.length > 0;
