/**
 * Whether the events of a server that goes on with a stream follow those that its client has. A server may overlook what it
 * is asked to go on behind, and begin anew: its client would get numbers twice, or miss some. Pure.
 */

/** What a client has of a stream. */
export type StreamSoFar = Readonly<{
  events: number;
  firstId: string | undefined;
  lastId: string | undefined;
}>;

/** Events of fewer than these have no step that a gap could be told by. */
const FEWEST_FOR_STEP = 2;

const WHOLE_NUMBER = /^\d{1,15}$/;

const toIdNumber = (id: string | undefined): number | undefined =>
  id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;

/** Whether the ids of all events so far rose by one. */
const hasStepOfOne = (first: number | undefined, last: number, events: number): boolean =>
  first !== undefined && events >= FEWEST_FOR_STEP && last - first === events - 1;

/** Whether the event `nextId` may come next; ids that are no whole numbers tell nothing. */
export const mayFollow = (soFar: StreamSoFar, nextId: string | undefined): boolean => {
  const last = toIdNumber(soFar.lastId);
  const next = toIdNumber(nextId);
  if (last === undefined || next === undefined) return true;
  if (next <= last) return false;
  return (
    next === last + 1 || !hasStepOfOne(toIdNumber(soFar.firstId), last, soFar.events)
  );
};
