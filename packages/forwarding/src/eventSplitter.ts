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
  /** How many bytes are held in all. */
  countHeld: () => number;
  /** Hands those bytes out; none are held afterwards. */
  takeRest: () => Buffer;
}>;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const BLANK_LINE = "\n\n";
const ID_FIELD = "id:";
const DATA_FIELD = "data";
const FIRST_OF_ID = ID_FIELD.charCodeAt(0);
const FIRST_OF_DATA = DATA_FIELD.charCodeAt(0);

/** The ends of the events that the bytes complete, each the index behind its last byte. */
type EventEnds = readonly number[];

const passLineFeeds = (text: string, from: number): number => {
  let at = from;
  while (text.charCodeAt(at) === LINE_FEED) at += 1;
  return at;
};

const findPlainEnds = (text: string): EventEnds => {
  const ends: number[] = [];
  let at = text.indexOf(BLANK_LINE, passLineFeeds(text, 0));
  while (at >= 0) {
    const end = at + BLANK_LINE.length;
    ends.push(end);
    at = text.indexOf(BLANK_LINE, passLineFeeds(text, end));
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

/** What the fields of one event say. */
type EventFields = { id: string | undefined; hasData: boolean };

const readPlainLine = (text: string, start: number, end: number, into: EventFields) => {
  const first = text.charCodeAt(start);
  if (first === FIRST_OF_DATA) into.hasData ||= text.startsWith(DATA_FIELD, start);
  if (first !== FIRST_OF_ID || !text.startsWith(ID_FIELD, start)) return;
  const value = start + ID_FIELD.length;
  into.id = text.slice(text.charCodeAt(value) === SPACE ? value + 1 : value, end);
};

/** The last id counts where an event has several. */
const readPlainFields = (text: string, start: number, end: number): EventFields => {
  const fields: EventFields = { id: undefined, hasData: false };
  for (let at = start; at < end;) {
    const lineEnd = text.indexOf("\n", at);
    readPlainLine(text, at, lineEnd, fields);
    at = lineEnd + 1;
  }
  return fields;
};

const MIXED_ID_LINE = /(?<=^|[\r\n])id: ?([^\r\n]*)/g;
const MIXED_DATA_LINE = /(?<=^|[\r\n])data/;

const readMixedFields = (text: string, start: number, end: number): EventFields => {
  const event = text.slice(start, end);
  const id = [...event.matchAll(MIXED_ID_LINE)].at(-1)?.[1];
  return { id, hasData: MIXED_DATA_LINE.test(event) };
};

const listIds = (text: string, ends: EventEnds): readonly (string | undefined)[] => {
  const readFields = text.includes("\r") ? readMixedFields : readPlainFields;
  const ids: (string | undefined)[] = [];
  let start = 0;
  for (const end of ends) {
    const { id, hasData } = readFields(text, start, end);
    if (id !== undefined || hasData) ids.push(id);
    start = end;
  }
  return ids;
};

/** One byte of the stream is one character of the text. */
const toText = (bytes: Buffer): string => bytes.toString("latin1");

const findEventEnds = (bytes: Buffer, text: string, isAll: boolean): EventEnds =>
  text.includes("\r") ? findMixedEnds(bytes, isAll) : findPlainEnds(text);

const FULL_LINE_END = Buffer.from("\r\n");

/**
 * Bytes that are left when nothing follows: blank lines are no event. A last carriage return ends its line, but not where
 * lines end with both: its line feed is missing then.
 */
const countLeft = (rest: Buffer): number => {
  const isAll = !rest.includes(FULL_LINE_END);
  const left = rest.subarray(findEventEnds(rest, toText(rest), isAll).at(-1) ?? 0);
  return left.every(isLineEnd) ? 0 : left.length;
};

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  let lastEventId: string | undefined;

  return {
    push: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const text = toText(bytes);
      const ends = findEventEnds(bytes, text, false);
      const end = ends.at(-1);
      if (end === undefined) {
        rest = bytes;
        return undefined;
      }
      rest = bytes.subarray(end);
      const ids = listIds(text, ends);
      lastEventId = ids.findLast((id) => id !== undefined) ?? lastEventId;
      return { bytes: bytes.subarray(0, end), events: ends.length, ids };
    },
    getLastEventId: () => lastEventId,
    countRest: () => countLeft(rest),
    countHeld: () => rest.length,
    takeRest: () => {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
  };
};
