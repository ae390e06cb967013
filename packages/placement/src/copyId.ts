/**
 * Suffix of the id under which the load registry records the memory of a run's copy on its target.
 */
const COPY_SUFFIX = "-copy";

export const toCopyId = (runId: string): string => `${runId}${COPY_SUFFIX}`;

/** Returns the id of the run that a copy belongs to; undefined if the id is not a copy's. */
export const findCopiedRun = (id: string): string | undefined =>
  id.endsWith(COPY_SUFFIX) ? id.slice(0, -COPY_SUFFIX.length) : undefined;
