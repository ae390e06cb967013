/**
 * Lists the runs that an engine's link could not copy between its announcement that it leaves and its end. Pure. Every box computes
 * the list from the same runs, and keeps standby copies of its own runs in it.
 */
import type { RunToMove } from "@stairgauge/placement";
import {
  computeCopyTime,
  FAR_COPY_FACTOR,
  LEAVING_NOTICE_MS,
  type CopyLink,
} from "./copyTime.js";

/** The runs and the link of one engine. */
export type ExposureInputs = Readonly<{
  /** In the order in which they would be moved, without those that already have a copy elsewhere. */
  runs: readonly RunToMove[];
  link: CopyLink;
}>;

/** Lists the ids of the runs that could not be copied in time. */
export const listExposed = ({ runs, link }: ExposureInputs): readonly string[] => {
  let time = 0;
  return runs
    .filter((run) => {
      time += FAR_COPY_FACTOR * computeCopyTime(run.tokensInMemory, link);
      return time > LEAVING_NOTICE_MS;
    })
    .map(({ id }) => id);
};
