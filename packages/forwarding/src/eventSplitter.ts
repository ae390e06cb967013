/**
 * Splits an event stream (server-sent events) into complete events.
 *
 * Bytes are never changed; they are only delayed until their event is complete. A line ends with a line
 * feed, a carriage return, or both; blank lines before an event belong to it.
 */

/** Complete events. */
export type EventBatch = Readonly<{
  bytes: Buffer;
  events: number;
  /** Ids of the events that have data or an id, in order; undefined for one that has no id. */
  ids: readonly (string | undefined)[];
}>;

/** Splits a stream into complete events. */
export type EventSplitter = Readonly<{
  /** Adds bytes; returns the events that they complete, undefined if none. */
  push: (chunk: Buffer) => EventBatch | undefined;
  /** Id of the last complete event that has one. */
  getLastEventId: () => string | undefined;
  /** Bytes of an incomplete event if the stream ended now; 0 if only blank lines are left. */
  countPendingBytes: () => number;
  /** Number of all buffered bytes. */
  countHeldBytes: () => number;
  /** Returns and drops the buffered bytes. */
  takePending: () => Buffer;
}>;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const BLANK_LINE = "\n\n";
const ID_FIELD = "id:";
const DATA_FIELD = "data";
const FIRST_OF_ID = ID_FIELD.charCodeAt(0);
const FIRST_OF_DATA = DATA_FIELD.charCodeAt(0);

/** Ends of the complete events, each the index after the event's last byte. */
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

/** Start of the line after the line end at `at`; -1 if a line feed that belongs to it may still follow. */
const findNextLine = (bytes: Buffer, at: number, isComplete: boolean): number => {
  if (bytes[at] === LINE_FEED) return at + 1;
  if (at + 1 === bytes.length) return isComplete ? at + 1 : -1;
  return bytes[at + 1] === LINE_FEED ? at + 2 : at + 1;
};

/** Finds ends where lines end in any of the three ways; `isComplete`: no more bytes follow. */
const findMixedEnds = (bytes: Buffer, isComplete: boolean): EventEnds => {
  const ends: number[] = [];
  let lineStart = 0;
  let hasContent = false;
  for (let at = 0; at < bytes.length; at += 1) {
    if (!isLineEnd(bytes[at])) continue;
    const next = findNextLine(bytes, at, isComplete);
    if (next < 0) break;
    const isBlank = at === lineStart;
    if (isBlank && hasContent) ends.push(next);
    hasContent = !isBlank;
    lineStart = next;
    at = next - 1;
  }
  return ends;
};

/** The fields of one event that matter here. */
type EventFields = { id: string | undefined; hasData: boolean };

const readPlainLine = (text: string, start: number, end: number, into: EventFields) => {
  const first = text.charCodeAt(start);
  if (first === FIRST_OF_DATA) into.hasData ||= text.startsWith(DATA_FIELD, start);
  if (first !== FIRST_OF_ID || !text.startsWith(ID_FIELD, start)) return;
  const value = start + ID_FIELD.length;
  into.id = text.slice(text.charCodeAt(value) === SPACE ? value + 1 : value, end);
};

/** If an event has several ids, the last one counts. */
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

/** Decodes each byte to one character, so that indexes agree. */
const toText = (bytes: Buffer): string => bytes.toString("latin1");

const findEventEnds = (bytes: Buffer, text: string, isComplete: boolean): EventEnds =>
  text.includes("\r") ? findMixedEnds(bytes, isComplete) : findPlainEnds(text);

const FULL_LINE_END = Buffer.from("\r\n");

/**
 * Counts the bytes of an incomplete event at the end of a stream; blank lines are no event. A final
 * carriage return ends its line, unless the stream's lines end with both characters: then its line
 * feed is missing.
 */
const countUnfinishedBytes = (pending: Buffer): number => {
  const isComplete = !pending.includes(FULL_LINE_END);
  const left = pending.subarray(
    findEventEnds(pending, toText(pending), isComplete).at(-1) ?? 0,
  );
  return left.every(isLineEnd) ? 0 : left.length;
};

/** Creates a splitter for a new stream. */
export const createEventSplitter = (): EventSplitter => {
  let pending: Buffer = Buffer.alloc(0);
  let lastEventId: string | undefined;

  return {
    push: (chunk) => {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const text = toText(bytes);
      const ends = findEventEnds(bytes, text, false);
      const end = ends.at(-1);
      if (end === undefined) {
        pending = bytes;
        return undefined;
      }
      pending = bytes.subarray(end);
      const ids = listIds(text, ends);
      lastEventId = ids.findLast((id) => id !== undefined) ?? lastEventId;
      return { bytes: bytes.subarray(0, end), events: ends.length, ids };
    },
    getLastEventId: () => lastEventId,
    countPendingBytes: () => countUnfinishedBytes(pending),
    countHeldBytes: () => pending.length,
    takePending: () => {
      const taken = pending;
      pending = Buffer.alloc(0);
      return taken;
    },
  };
};
