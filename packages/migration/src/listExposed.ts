/**
 * The runs that an engine's link could not copy between its notice and its end. Pure.
 * Every box works it out from the same runs, so each keeps a standby copy for its own among them.
 */
import type { RunToMove } from "@stairgauge/placement";
import { computeCopyTime, FAR_FACTOR, NOTICE_MS, type CopyLink } from "./copyTime.js";

/** What is known of one engine. */
export type ExposureInputs = Readonly<{
  /** In the order in which they would be moved; those that have a copy elsewhere are not among them. */
  runs: readonly RunToMove[];
  link: CopyLink;
}>;

/** Lists the ids of those that come too late. */
export const listExposed = ({ runs, link }: ExposureInputs): readonly string[] => {
  let time = 0;
  return runs
    .filter((run) => {
      time += FAR_FACTOR * computeCopyTime(run.tokensInMemory, link);
      return time > NOTICE_MS;
    })
    .map(({ id }) => id);
};
