/** Computes how long copies of runs' memory take. Pure. */
import type { Ms } from "@stairgauge/common";
import type { RunToMove } from "@stairgauge/placement";

/** The network link of a service's engines, and the size of a token in an engine's memory. */
export type CopyLink = Readonly<{ bytesPerToken: number; linkMbps: number }>;

/** A copy to another data hall takes twice as long, according to the users' documentation. */
export const FAR_COPY_FACTOR = 2;

/**
 * Time for copies after an engine announces that it leaves. At the users' sites it ends 1.5 to 2.1 s after that; boxes receive the
 * announcement 0.1 s late, and the calls themselves take a part of the time.
 */
export const LEAVING_NOTICE_MS = 1_300;

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_MBPS = 1_000;

/** Computes the time to copy this many tokens over an idle link within a data hall. */
export const computeCopyTime = (tokens: number, link: CopyLink): Ms =>
  ((tokens * link.bytesPerToken * BITS_PER_BYTE) /
    (link.linkMbps * BITS_PER_MS_OF_MBPS)) as Ms;

/** Computes the share of the notice time that copies of all runs to other data halls would take; 0 if the link is undefined. */
export const computePressure = (
  runs: readonly RunToMove[],
  link: CopyLink | undefined,
): number => {
  if (!link) return 0;
  const tokens = runs.reduce((sum, run) => sum + run.tokensInMemory, 0);
  return (FAR_COPY_FACTOR * computeCopyTime(tokens, link)) / LEAVING_NOTICE_MS;
};
