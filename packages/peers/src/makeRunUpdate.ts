/** Creates updates, which a box sends to those that it is linked to. */
import type { BoxName } from "@stairgauge/common";
import { NO_CRASH_UPDATE } from "@stairgauge/crashes";
import { NO_LIMIT_UPDATE } from "@stairgauge/limits";
import type { RunUpdate } from "./types.js";

/** Creates an update of a box from the given parts; the other parts are empty. */
export const makeRunUpdate = (
  box: BoxName,
  parts: Partial<Omit<RunUpdate, "box">> = {},
): RunUpdate => ({
  box,
  isWhole: false,
  put: [],
  drop: [],
  leaving: [],
  reports: [],
  broken: [],
  crashes: NO_CRASH_UPDATE,
  limits: NO_LIMIT_UPDATE,
  ...parts,
});
