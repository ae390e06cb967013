/**
 * Splits a stream of events at their ends, so that only whole events are passed on.
 *
 * Bytes are never changed: what is passed on is exactly what came, later by the rest of one event.
 */

/** Whole events, and the ids of the first and the last of them that have one. */
export type EventBatch = Readonly<{
  bytes: Buffer;
  events: number;
  firstId: string | undefined;
  lastId: string | undefined;
}>;

/** Takes bytes as they come and gives whole events. */
export type EventSplitter = Readonly<{
  /** Adds bytes; gives the whole events that they complete, if any. */
  push: (chunk: Buffer) => EventBatch | undefined;
  /** Id of the last whole event that has one. */
  getLastEventId: () => string | undefined;
  /** How many bytes of an event whose end has not come are held. */
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

const isFirstLineId = (events: Buffer): boolean =>
  events.subarray(0, ID_FIELD.length).equals(ID_FIELD);

/** Where the value of the first id field begins, or -1. */
const findFirstIdStart = (events: Buffer): number => {
  if (isFirstLineId(events)) return ID_FIELD.length;
  const at = events.indexOf(ID_LINE);
  return at >= 0 ? at + ID_LINE.length : -1;
};

/** Where the value of the last id field begins, or -1. */
const findLastIdStart = (events: Buffer): number => {
  const at = events.lastIndexOf(ID_LINE);
  if (at >= 0) return at + ID_LINE.length;
  return isFirstLineId(events) ? ID_FIELD.length : -1;
};

const readId = (events: Buffer, found: number): string | undefined => {
  if (found < 0) return undefined;
  const start = events[found] === SPACE ? found + 1 : found;
  const lineEnd = events.indexOf(LINE_FEED, start);
  const end = events[lineEnd - 1] === CARRIAGE_RETURN ? lineEnd - 1 : lineEnd;
  return events.toString("latin1", start, end);
};

/** How many events the bytes complete, and the index behind the last of them. */
type EventEnds = Readonly<{ count: number; end: number }>;

const findPlainEnds = (bytes: Buffer): EventEnds => {
  let count = 0;
  let end = 0;
  for (let at = bytes.indexOf(BLANK_LINE); at >= 0; at = bytes.indexOf(BLANK_LINE, end)) {
    count += 1;
    end = at + BLANK_LINE.length;
  }
  return { count, end };
};

/** Lines may end with a carriage return as well, each in its own way. */
const findMixedEnds = (bytes: Buffer): EventEnds => {
  let count = 0;
  let end = 0;
  for (
    let at = bytes.indexOf(LINE_FEED);
    at >= 0;
    at = bytes.indexOf(LINE_FEED, at + 1)
  ) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] !== LINE_FEED) continue;
    count += 1;
    end = next + 1;
  }
  return { count, end };
};

const findEventEnds = (bytes: Buffer): EventEnds =>
  bytes.includes(CARRIAGE_RETURN) ? findMixedEnds(bytes) : findPlainEnds(bytes);

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  let lastEventId: string | undefined;

  return {
    push: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const { count, end } = findEventEnds(bytes);
      if (count === 0) {
        rest = bytes;
        return undefined;
      }
      const whole = bytes.subarray(0, end);
      rest = bytes.subarray(end);
      const lastId = readId(whole, findLastIdStart(whole));
      lastEventId = lastId ?? lastEventId;
      const firstId = readId(whole, findFirstIdStart(whole));
      return { bytes: whole, events: count, firstId, lastId };
    },
    getLastEventId: () => lastEventId,
    countRest: () => rest.length,
    takeRest: () => {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
  };
};
