/**
 * Splits a stream of events at their ends, so that only whole events are passed on.
 *
 * Bytes are never changed: what is passed on is exactly what came, later by the rest of one event.
 */

/** A run of whole events, and the id of the last of them that has one. */
export type EventBatch = Readonly<{ bytes: Buffer; events: number }>;

/** Takes bytes as they come and gives whole events. */
export type EventSplitter = Readonly<{
  /** Adds bytes; gives the whole events that they complete, if any. */
  push: (chunk: Buffer) => EventBatch | undefined;
  /** Id of the last whole event that has one. */
  getLastEventId: () => string | undefined;
  /** Bytes of an event whose end has not come. */
  takeRest: () => Buffer;
  dropRest: () => void;
}>;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:\s?(.*?)\r?$/gm;

const findLastId = (events: string): string | undefined => {
  let last: string | undefined;
  for (const match of events.matchAll(ID_FIELD)) last = match[1];
  return last;
};

/** Index behind each blank line that ends an event. */
const listEventEnds = (bytes: Buffer): readonly number[] => {
  const ends: number[] = [];
  for (
    let at = bytes.indexOf(LINE_FEED);
    at >= 0;
    at = bytes.indexOf(LINE_FEED, at + 1)
  ) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) ends.push(next + 1);
  }
  return ends;
};

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  let lastEventId: string | undefined;

  return {
    push: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const ends = listEventEnds(bytes);
      const end = ends.at(-1);
      if (end === undefined) {
        rest = bytes;
        return undefined;
      }
      const whole = bytes.subarray(0, end);
      rest = bytes.subarray(end);
      lastEventId = findLastId(whole.toString("latin1")) ?? lastEventId;
      return { bytes: whole, events: ends.length };
    },
    getLastEventId: () => lastEventId,
    takeRest: () => {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
    dropRest: () => {
      rest = Buffer.alloc(0);
    },
  };
};
