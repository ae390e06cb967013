/**
 * Splits a stream of events at their ends, so that only whole events are passed on.
 *
 * Bytes are never changed: what is passed on is exactly what came, later by the rest of one event. A line ends with a line
 * feed, a carriage return, or both; blank lines before an event belong to it.
 */

/** Whole events. */
export type EventBatch = Readonly<{
  bytes: Buffer;
  events: number;
  /** The ids of those that carry data or an id, in order; undefined for one with data only. */
  ids: readonly (string | undefined)[];
}>;

/** Takes bytes as they come and gives whole events. */
export type EventSplitter = Readonly<{
  /** Adds bytes; gives the whole events that they complete, if any. */
  push: (chunk: Buffer) => EventBatch | undefined;
  /** Id of the last whole event that has one. */
  getLastEventId: () => string | undefined;
  /** How many bytes of an event whose end has not come are held, if nothing follows them. */
  countRest: () => number;
  /** Hands those bytes out; none are held afterwards. */
  takeRest: () => Buffer;
}>;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const BLANK_LINE = Buffer.from("\n\n");
const ID_FIELD = Buffer.from("id:");
const ID_LINE = Buffer.from("\nid:");
const DATA_FIELD = Buffer.from("data");
const DATA_LINE = Buffer.from("\ndata");

/** The ends of the events that the bytes complete, each the index behind its last byte. */
type EventEnds = readonly number[];

const passLineFeeds = (bytes: Buffer, from: number): number => {
  let at = from;
  while (bytes[at] === LINE_FEED) at += 1;
  return at;
};

const findPlainEnds = (bytes: Buffer): EventEnds => {
  const ends: number[] = [];
  let at = bytes.indexOf(BLANK_LINE, passLineFeeds(bytes, 0));
  while (at >= 0) {
    const end = at + BLANK_LINE.length;
    ends.push(end);
    at = bytes.indexOf(BLANK_LINE, passLineFeeds(bytes, end));
  }
  return ends;
};

const isLineEnd = (byte: number | undefined): boolean =>
  byte === LINE_FEED || byte === CARRIAGE_RETURN;

/** Where the line after the line end at `at` begins; -1 while a line feed may still belong to it. */
const findNextLine = (bytes: Buffer, at: number, isAll: boolean): number => {
  if (bytes[at] === LINE_FEED) return at + 1;
  if (at + 1 === bytes.length) return isAll ? at + 1 : -1;
  return bytes[at + 1] === LINE_FEED ? at + 2 : at + 1;
};

/** Lines may end in each of the three ways; `isAll` says that nothing follows the bytes. */
const findMixedEnds = (bytes: Buffer, isAll: boolean): EventEnds => {
  const ends: number[] = [];
  let lineStart = 0;
  let hasContent = false;
  for (let at = 0; at < bytes.length; at += 1) {
    if (!isLineEnd(bytes[at])) continue;
    const next = findNextLine(bytes, at, isAll);
    if (next < 0) break;
    const isBlank = at === lineStart;
    if (isBlank && hasContent) ends.push(next);
    hasContent = !isBlank;
    lineStart = next;
    at = next - 1;
  }
  return ends;
};

const findEventEnds = (bytes: Buffer, isAll: boolean): EventEnds =>
  bytes.includes(CARRIAGE_RETURN) ? findMixedEnds(bytes, isAll) : findPlainEnds(bytes);

const isFirstField = (event: Buffer, field: Buffer): boolean =>
  event.subarray(0, field.length).equals(field);

/** The value that begins at `found`, up to the end of its line. */
const readValue = (event: Buffer, found: number): string => {
  const start = event[found] === SPACE ? found + 1 : found;
  return event.toString("latin1", start, event.indexOf(LINE_FEED, start));
};

/** Id of one event, its last if it has several. */
const findPlainId = (event: Buffer): string | undefined => {
  const at = event.lastIndexOf(ID_LINE);
  if (at >= 0) return readValue(event, at + ID_LINE.length);
  return isFirstField(event, ID_FIELD) ? readValue(event, ID_FIELD.length) : undefined;
};

const MIXED_ID_LINE = /(?<=^|[\r\n])id: ?([^\r\n]*)/g;

const findMixedId = (event: Buffer): string | undefined =>
  [...event.toString("latin1").matchAll(MIXED_ID_LINE)].at(-1)?.[1];

const findId = (event: Buffer): string | undefined =>
  event.includes(CARRIAGE_RETURN) ? findMixedId(event) : findPlainId(event);

const MIXED_DATA_LINE = /(?<=^|[\r\n])data/;

const hasData = (event: Buffer): boolean =>
  event.includes(CARRIAGE_RETURN)
    ? MIXED_DATA_LINE.test(event.toString("latin1"))
    : isFirstField(event, DATA_FIELD) || event.includes(DATA_LINE);

const listIds = (bytes: Buffer, ends: EventEnds): readonly (string | undefined)[] =>
  ends.flatMap((end, index) => {
    const event = bytes.subarray(ends[index - 1] ?? 0, end);
    const id = findId(event);
    return id !== undefined || hasData(event) ? [id] : [];
  });

const FULL_LINE_END = Buffer.from("\r\n");

/**
 * Bytes that are left when nothing follows: blank lines are no event. A last carriage return ends its line, but not where
 * lines end with both: its line feed is missing then.
 */
const countLeft = (rest: Buffer): number => {
  const isAll = !rest.includes(FULL_LINE_END);
  const left = rest.subarray(findEventEnds(rest, isAll).at(-1) ?? 0);
  return left.every(isLineEnd) ? 0 : left.length;
};

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  let lastEventId: string | undefined;

  return {
    push: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const ends = findEventEnds(bytes, false);
      const end = ends.at(-1);
      if (end === undefined) {
        rest = bytes;
        return undefined;
      }
      rest = bytes.subarray(end);
      const ids = listIds(bytes, ends);
      lastEventId = ids.findLast((id) => id !== undefined) ?? lastEventId;
      return { bytes: bytes.subarray(0, end), events: ends.length, ids };
    },
    getLastEventId: () => lastEventId,
    countRest: () => countLeft(rest),
    takeRest: () => {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
  };
};
