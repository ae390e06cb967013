/** How long copies of runs take. Pure. */
import type { Ms } from "@stairgauge/common";
import type { RunToMove } from "@stairgauge/placement";

/** The link of the engines of a service. */
export type CopyLink = Readonly<{ bytesPerToken: number; linkMbps: number }>;

/** A copy to another data hall takes twice as long; from the users' pages. */
export const FAR_FACTOR = 2;

/**
 * Time for copies between the notice of an engine and its end: the users' sites give 1.5 to 2.1 s, of which boxes
 * hear 0.1 s late; a part is left for the calls themselves.
 */
export const NOTICE_MS = 1_300;

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_MBPS = 1_000;

/** Time that a copy of so many tokens takes on an idle link within a data hall. */
export const computeCopyTime = (tokens: number, link: CopyLink): Ms =>
  ((tokens * link.bytesPerToken * BITS_PER_BYTE) /
    (link.linkMbps * BITS_PER_MS_OF_MBPS)) as Ms;

/** Share of the notice that copies of all runs to far targets would take. */
export const computePressure = (
  runs: readonly RunToMove[],
  link: CopyLink | undefined,
): number => {
  if (!link) return 0;
  const tokens = runs.reduce((sum, run) => sum + run.tokensInMemory, 0);
  return (FAR_FACTOR * computeCopyTime(tokens, link)) / NOTICE_MS;
};
