/**
 * Whether the first event of a server that goes on with a stream follows the last one that its client has. Pure.
 *
 * Ids are texts to us: the protocol says only that they rise. What this stream itself has shown of them is held
 * against the next one, and nothing more; bytes are never changed, a server whose event doesn't follow is left.
 */

/** What a stream's ids were like so far. */
export type IdSequence = Readonly<{
  /** Id of the first event that was passed on, by which a server that begins anew is known. */
  first: string | undefined;
  /** Id of the last event that was passed on; undefined when it had none. */
  last: string | undefined;
  /** How the ids rose: by one from each event to the next, in another way, or not seen yet. */
  rise: "unseen" | "by_one" | "otherwise";
  /** Whether the client has an event at all. */
  hasBegun: boolean;
}>;

/** What a join looks like. */
export type JoinVerdict =
  /** The event follows, as far as its id can tell. */
  | "follows"
  /** The client has this event, or one behind it. */
  | "repeats"
  /** Events between the two are left out. */
  | "skips"
  /** Nothing tells where the event stands. */
  | "unknown";

/** Whole numbers as servers write them; longer ones would lose their last figures. */
const WHOLE_NUMBER = /^(0|[1-9]\d{0,14})$/;

const toNumber = (id: string | undefined): number | undefined =>
  id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;

const isNext = (last: string | undefined, next: string | undefined): boolean =>
  toNumber(next) === (toNumber(last) ?? NaN) + 1;

/** Creates the sequence of a stream of which the client has nothing, or the event that it named itself. */
export const createIdSequence = (asked: string | undefined): IdSequence => ({
  first: asked,
  last: asked,
  rise: "unseen",
  hasBegun: asked !== undefined,
});

/** Adds the id of an event that is passed on; undefined for one that has none. */
export const addId = (sequence: IdSequence, id: string | undefined): IdSequence => {
  const { first, last, rise, hasBegun } = sequence;
  if (!hasBegun) return { first: id, last: id, rise, hasBegun: true };
  const isByOne = rise !== "otherwise" && isNext(last, id);
  return { first, last: id, rise: isByOne ? "by_one" : "otherwise", hasBegun };
};

/** What a header's value may hold; an id of other characters could not be sent. */
const FITS_HEADER = /^[\t\x20-\x7e\x80-\xff]+$/;

/** Whether a server can be told where to go on: the last event that the client has can be named. */
export const canName = ({ last, hasBegun }: IdSequence): boolean =>
  !hasBegun || (last !== undefined && FITS_HEADER.test(last));

/** Checks the id of a continuation's first event. */
export const checkJoin = (
  sequence: IdSequence,
  next: string | undefined,
): JoinVerdict => {
  const { first, last, rise, hasBegun } = sequence;
  if (!hasBegun) return "follows";
  if (last === undefined || next === undefined) return "unknown";
  if (next === last || next === first) return "repeats";
  const [from, to] = [toNumber(last), toNumber(next)];
  if (from === undefined || to === undefined) return "unknown";
  if (to <= from) return "repeats";
  return rise === "by_one" && to !== from + 1 ? "skips" : "follows";
};
