/** Computes how many of the connections to one server a single box may hold. Pure. */

/** Connections to each server that a box reserves for reports and for copies of runs. */
const RESERVED_CONNECTIONS = 2;

/** Each of many boxes may open one connection, even if all together then exceed the limit. */
const MIN_SHARE = 1;

/** Divides a server's connection limit among the boxes. Returns Infinity without a limit. */
export const computeConnectionShare = (
  limit: number | undefined,
  boxes: number,
): number => {
  if (limit === undefined) return Infinity;
  return Math.max(
    MIN_SHARE,
    Math.floor(limit / Math.max(1, boxes)) - RESERVED_CONNECTIONS,
  );
};
