/**
 * Checks whether the first event of a server that continues a stream follows the client's last event.
 * Pure.
 *
 * Ids are opaque strings; the protocol guarantees only that they rise. The next id is checked against
 * the pattern of this stream's own ids and nothing else. Bytes are never changed: a server whose event
 * does not follow is abandoned.
 */

/** The ids of a stream so far. */
export type IdSequence = Readonly<{
  /** Id of the first event; a server that sends it again has restarted the stream. */
  first: string | undefined;
  /** Id of the last forwarded event; undefined if it had none. */
  last: string | undefined;
  /** How the ids rise: by one per event, in another way, or unknown so far. */
  rise: "unseen" | "by_one" | "otherwise";
  /** Whether the client has received any event. */
  hasBegun: boolean;
}>;

/** Result of the check. */
export type JoinVerdict =
  /** The event follows, as far as its id shows. */
  | "follows"
  /** The client already has this event or a later one. */
  | "repeats"
  /** Events in between are missing. */
  | "skips"
  /** The id does not show the event's position. */
  | "unknown";

/** Integers without leading zeros; longer ones would lose precision as a number. */
const WHOLE_NUMBER = /^(0|[1-9]\d{0,14})$/;

const toNumber = (id: string | undefined): number | undefined =>
  id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;

const isNext = (last: string | undefined, next: string | undefined): boolean =>
  toNumber(next) === (toNumber(last) ?? NaN) + 1;

/** Creates the sequence of a new stream, or of one that the client resumes after the event `resumeAfter`. */
export const createIdSequence = (resumeAfter: string | undefined): IdSequence => ({
  first: resumeAfter,
  last: resumeAfter,
  rise: "unseen",
  hasBegun: resumeAfter !== undefined,
});

/** Adds the id of a forwarded event; undefined if it has none. */
export const addId = (sequence: IdSequence, id: string | undefined): IdSequence => {
  const { first, last, rise, hasBegun } = sequence;
  if (!hasBegun) return { first: id, last: id, rise, hasBegun: true };
  const isByOne = rise !== "otherwise" && isNext(last, id);
  return { first, last: id, rise: isByOne ? "by_one" : "otherwise", hasBegun };
};

/** Characters allowed in a header value; an id with others cannot be sent in a request. */
const FITS_HEADER = /^[\t\x20-\x7e\x80-\xff]+$/;

/** Whether a request can state the position to continue from: the last event has an id that fits a header. */
export const canContinueAfter = ({ last, hasBegun }: IdSequence): boolean =>
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
