/**
 * Splits an event stream (server-sent events) into complete events.
 *
 * Bytes are never changed; they are only delayed until their event is complete. A line ends with a line
 * feed, a carriage return, or both; blank lines before an event belong to it.
 */

import { createByteCollector } from "./byteCollector.js";

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
const ID_FIELD = "id:";
const DATA_FIELD = "data";
const FIRST_OF_ID = ID_FIELD.charCodeAt(0);
const FIRST_OF_DATA = DATA_FIELD.charCodeAt(0);

/** Ends of the complete events, each the index after the event's last byte. */
type EventEnds = readonly number[];

const isLineEnd = (byte: number | undefined): boolean =>
  byte === LINE_FEED || byte === CARRIAGE_RETURN;

/** Finds the ends of events in bytes that come one after the other; reads each byte once. */
type EndFinder = Readonly<{
  /** Returns the ends in the next bytes, as indexes of them. */
  find: (bytes: Buffer) => EventEnds;
  /** Whether the bytes so far, if no more follow, end with an event that a last carriage return completes. */
  isCompleteAtEnd: () => boolean;
}>;

const createEndFinder = (): EndFinder => {
  let isLineBlank = true;
  let hasContent = false;
  /** Whether the last byte is a carriage return, to which a line feed may still belong. */
  let isAfterReturn = false;

  const isEventComplete = () => isLineBlank && hasContent;
  const endLine = (next: number, ends: number[]) => {
    if (isEventComplete()) ends.push(next);
    hasContent = !isLineBlank;
    isLineBlank = true;
  };
  return {
    find: (bytes) => {
      const ends: number[] = [];
      for (let at = 0; at < bytes.length; at += 1) {
        const byte = bytes[at];
        const isSecondOfLineEnd = isAfterReturn && byte === LINE_FEED;
        if (isAfterReturn) endLine(isSecondOfLineEnd ? at + 1 : at, ends);
        isAfterReturn = byte === CARRIAGE_RETURN;
        if (isSecondOfLineEnd || isAfterReturn) continue;
        if (byte === LINE_FEED) endLine(at + 1, ends);
        else isLineBlank = false;
      }
      return ends;
    },
    isCompleteAtEnd: () => isAfterReturn && isEventComplete(),
  };
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

const FULL_LINE_END = Buffer.from("\r\n");

/**
 * Counts the bytes of an incomplete event at the end of a stream; blank lines are no event. A final
 * carriage return ends its line, unless the stream's lines end with both characters: then its line
 * feed is missing.
 */
const countUnfinishedBytes = (pending: Buffer): number => {
  const finder = createEndFinder();
  const end = finder.find(pending).at(-1) ?? 0;
  if (finder.isCompleteAtEnd() && !pending.includes(FULL_LINE_END)) return 0;
  const left = pending.subarray(end);
  return left.every(isLineEnd) ? 0 : left.length;
};

/** Creates a splitter for a new stream. */
export const createEventSplitter = (): EventSplitter => {
  let pending = createByteCollector();
  let finder = createEndFinder();
  let lastEventId: string | undefined;

  return {
    push: (chunk) => {
      const ends = finder.find(chunk);
      const end = ends.at(-1);
      if (end === undefined) {
        pending.append(chunk);
        return undefined;
      }
      const before = pending.join();
      const last = chunk.subarray(0, end);
      const bytes = before.length === 0 ? last : Buffer.concat([before, last]);
      pending = createByteCollector();
      pending.append(chunk.subarray(end));
      const ids = listIds(
        toText(bytes),
        ends.map((index) => before.length + index),
      );
      lastEventId = ids.findLast((id) => id !== undefined) ?? lastEventId;
      return { bytes, events: ends.length, ids };
    },
    getLastEventId: () => lastEventId,
    countPendingBytes: () => countUnfinishedBytes(pending.join()),
    countHeldBytes: () => pending.getLength(),
    takePending: () => {
      const taken = pending.join();
      pending = createByteCollector();
      finder = createEndFinder();
      return taken;
    },
  };
};
