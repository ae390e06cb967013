/** Passes the events of a run on to its client, whole events only, from whichever server makes them. */
import type { Clock, Ms } from "@stairgauge/common";
import type { ClientAnswer } from "./clientAnswer.js";
import { createEventSplitter } from "./eventSplitter.js";
import type { RawHeaders } from "./types.js";

/** The relay of one stream. */
export type StreamRelay = Readonly<{
  /** Takes the first server's head; it goes out with the first event. */
  takeHead: (headers: RawHeaders, reason: string) => void;
  /** Passes on what the chunk completes; true when the server should be paused. */
  push: (chunk: Buffer) => boolean;
  /** The stream has ended whole. */
  finish: () => void;
  /** Drops the part of an event that a server left behind. */
  dropRest: () => void;
  hasBegun: () => boolean;
  getEvents: () => number;
  getLastEventId: () => string | undefined;
  /** Bytes of an event whose end has not come. */
  countBytesLeft: () => number;
  getPace: () => StreamPace;
}>;

/** How a stream came, as its client sees it. */
export type StreamPace = Readonly<{
  firstEventAt: Ms | undefined;
  longestPause: Ms;
  longestPauseAt: Ms | undefined;
}>;

const STREAM_STATUS = 200;

/** Creates a relay before its first head. */
export const createStreamRelay = (
  clock: Clock,
  answer: ClientAnswer,
  onFirstEvent: () => void,
): StreamRelay => {
  const splitter = createEventSplitter();
  let headers: RawHeaders | undefined;
  let reason = "";
  let events = 0;
  let firstEventAt: Ms | undefined;
  let lastEventAt: Ms | undefined;
  let longestPause = 0 as Ms;
  let longestPauseAt: Ms | undefined;

  const recordPace = () => {
    const now = clock.monotonic();
    firstEventAt ??= now;
    const pause = (now - (lastEventAt ?? now)) as Ms;
    lastEventAt = now;
    if (pause <= longestPause) return;
    longestPause = pause;
    longestPauseAt = now;
  };

  const begin = () => {
    if (answer.hasBegun()) return;
    answer.begin({ status: STREAM_STATUS, reason, headers: headers ?? [] });
  };

  return {
    takeHead: (first, firstReason) => {
      if (headers) return;
      headers = first;
      reason = firstReason;
    },
    push: (chunk) => {
      const batch = splitter.push(chunk);
      if (!batch) return false;
      const isFirst = events === 0;
      events += batch.events;
      recordPace();
      begin();
      const mayGoOn = answer.write(batch.bytes);
      if (isFirst) onFirstEvent();
      return !mayGoOn;
    },
    finish: () => {
      begin();
      const rest = splitter.takeRest();
      if (rest.length > 0) answer.write(rest);
      answer.end();
    },
    dropRest: splitter.dropRest,
    hasBegun: () => events > 0,
    getEvents: () => events,
    getLastEventId: splitter.getLastEventId,
    countBytesLeft: splitter.countRest,
    getPace: () => ({ firstEventAt, longestPause, longestPauseAt }),
  };
};

/** Describes a whole stream by its pace, in times since its request was received. */
export const describeStreamEnd = (
  relay: Pick<StreamRelay, "getEvents" | "getPace">,
  { receivedAt, now }: Readonly<{ receivedAt: Ms; now: Ms }>,
) => {
  const { firstEventAt, longestPause, longestPauseAt } = relay.getPace();
  return {
    kind: "stream_ended",
    events: relay.getEvents(),
    firstEventAfter: ((firstEventAt ?? now) - receivedAt) as Ms,
    longestPause,
    longestPauseAfter: ((longestPauseAt ?? now) - receivedAt) as Ms,
  } as const;
};
