/**
 * Computes how many of the connections to one server a box may hold: its equal part, which it has without hearing from
 * others, and as much as it needs while the boxes that know of each other's requests are well within the limit. Pure.
 */

/** Connections to each server that a box reserves for reports and for copies of runs. */
const RESERVED_CONNECTIONS = 2;

/** Each of many boxes may open one connection, even if all together then exceed the limit. */
const MIN_SHARE = 1;

/**
 * Share of a server's connections that is not divided by number: boxes that know of each other's requests use it by
 * need. Few servers have that many slots, so it is enough for one box that gets nearly all requests.
 */
const SHARED_PART = 0.25;

/** Connections to one server. */
export type ConnectionBounds = Readonly<{
  /** This box's equal part of all of them, for plain requests, whose admitting box places by slots beyond it. */
  plain: number;
  /** This box's equal part of what is not shared, for generations. */
  own: number;
  /** Connections of all boxes together up to which a box that knows of them may exceed its part. */
  shared: number;
}>;

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

/** Computes the bounds of one box out of this many; a box without others has nothing to share. */
export const computeConnectionBounds = (
  limit: number | undefined,
  boxes: number,
): ConnectionBounds => {
  const plain = computeConnectionShare(limit, boxes);
  if (limit === undefined || boxes <= 1) return { plain, own: plain, shared: 0 };
  const shared = Math.floor(limit * SHARED_PART);
  return { plain, own: computeConnectionShare(limit - shared, boxes), shared };
};

/** Requests at one server; those of the other boxes are undefined if this box doesn't know them. */
export type OpenRequests = Readonly<{ own: number; ofOthers: number | undefined }>;

/** Whether a box may open one more connection to a server. */
export const mayConnect = (
  bounds: Pick<ConnectionBounds, "own" | "shared">,
  open: OpenRequests,
): boolean =>
  open.own < bounds.own ||
  (open.ofOthers !== undefined && open.own + open.ofOthers < bounds.shared);
