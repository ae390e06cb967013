/** What counts of the boxes' rows when the store comes back from a copy. */
import type { BoxName, Ms } from "@stairgauge/common";
import type { RestoreRules } from "@stairgauge/storefeed";

/** A box that lives has put its lost row again within this time. */
const REJOINED_WITHIN_MS = 10_000 as Ms;

/** Creates the rules of the boxes' table; a box misses its own row at once, and puts it again. */
export const createBoxRestoreRules = (own: BoxName): RestoreRules => ({
  isUndone: () => false,
  resolveMissing: ({ key }) =>
    key === own ? { kind: "drop" } : { kind: "keep_for", duration: REJOINED_WITHIN_MS },
  resolveDropped: () => ({ kind: "take" }),
});
