/** Under which id the memory of a run's copy stands in the load book of its target. */
const COPY_SUFFIX = "-copy";

/** Makes the id of a run's copy. */
export const toCopyId = (runId: string): string => `${runId}${COPY_SUFFIX}`;

/** Gives the run that a copy belongs to; undefined when the id is no copy's. */
export const findCopiedRun = (id: string): string | undefined =>
  id.endsWith(COPY_SUFFIX) ? id.slice(0, -COPY_SUFFIX.length) : undefined;
