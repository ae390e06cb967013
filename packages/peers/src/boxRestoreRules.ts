/** How the rows of boxes are handled when the store is restored from a backup that lacks some of them. */
import type { BoxName, Ms } from "@stairgauge/common";
import type { RestoreRules } from "@stairgauge/storefeed";

/** A live box has written its lost row again within this time. */
const MAX_REJOIN_MS = 10_000 as Ms;

/** Creates the rules. A box drops its own missing row at once, so that it notices the loss and writes the row again. */
export const createBoxRestoreRules = (own: BoxName): RestoreRules => ({
  isUndone: () => false,
  resolveMissing: ({ key }) =>
    key === own ? { kind: "drop" } : { kind: "keep_for", duration: MAX_REJOIN_MS },
  resolveDropped: () => ({ kind: "take" }),
});
