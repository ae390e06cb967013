/**
 * Passes the events of a run on to its client, whole events only, from whichever server makes them.
 *
 * Each server's part is a leg with a splitter of its own: what one server leaves behind never stands before another's events.
 */
import { assertNever, type Clock, type Ms } from "@stairgauge/common";
import { addId, canName, checkJoin, createIdSequence } from "./checkJoin.js";
import type { ClientAnswer } from "./clientAnswer.js";
import { createEventSplitter, type EventBatch } from "./eventSplitter.js";
import type { RawHeaders } from "./types.js";

/** What became of a chunk. */
export type SegmentStep = Readonly<
  /** It completes no event, or the leg is no longer the stream's. */
  | { kind: "held" }
  /** Whole events were passed on; the client may read slower than they come. */
  | { kind: "passed_on"; isClientSlow: boolean }
  /** An event is longer than what may be held of it. */
  | { kind: "too_long" }
  /** The leg's first event does not follow what the client has: nothing of it was passed on. */
  | {
      kind: "does_not_follow";
      eventId: string | undefined;
      /** The event that the leg was to go on behind. */
      behind: string | undefined;
    }
>;

/** The part of a stream that one server makes. */
export type StreamSegment = Readonly<{
  push: (chunk: Buffer) => SegmentStep;
  /** Bytes of an event whose end has not come. */
  countBytesLeft: () => number;
  /** The leg has ended whole, and the stream with it. */
  finish: () => void;
}>;

/** The relay of one stream. */
export type StreamRelay = Readonly<{
  /** Begins a server's part; its head goes out with the first event, unless another's has gone out before. */
  beginSegment: (headers: RawHeaders, reason: string) => StreamSegment;
  hasBegun: () => boolean;
  getEvents: () => number;
  /** Id of the last event that was passed on, if it has one. */
  getLastEventId: () => string | undefined;
  /** Whether another server can be told where to go on. */
  canGoOn: () => boolean;
  getPace: () => StreamPace;
}>;

/** What a relay needs. */
export type StreamRelayOptions = Readonly<{
  clock: Clock;
  answer: ClientAnswer;
  /** The event behind which the client itself asked to go on, if any. */
  askedBehind: string | undefined;
  onFirstEvent: () => void;
}>;

/** How a stream came, as its client sees it. */
export type StreamPace = Readonly<{
  firstEventAt: Ms | undefined;
  longestPause: Ms;
  longestPauseAt: Ms | undefined;
}>;

const STREAM_STATUS = 200;

/** An event that is longer is no event: a server that never ends one would fill the box's memory. */
const LONGEST_EVENT_BYTES = 512 * 1024;

/** Comments that wait for the first event of a leg. */
const MAX_HELD_COMMENTS = 16;

/** Creates a relay before its first leg. */
export const createStreamRelay = (options: StreamRelayOptions): StreamRelay => {
  const { clock, answer, askedBehind, onFirstEvent } = options;
  let current: StreamSegment | undefined;
  let events = 0;
  let sequence = createIdSequence(askedBehind);
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
  const recordEvents = (batch: EventBatch) => {
    events += batch.events;
    sequence = batch.ids.reduce(addId, sequence);
    recordPace();
  };
  const passOn = (batch: EventBatch): SegmentStep => {
    const isFirst = events === 0;
    recordEvents(batch);
    const mayGoOn = answer.write(batch.bytes);
    if (isFirst) onFirstEvent();
    return { kind: "passed_on", isClientSlow: !mayGoOn };
  };

  /** Whether what a leg that has not joined sends may go out; comments alone tell nothing of its place. */
  const judgeJoin = ({
    ids,
  }: EventBatch): "joins" | "tells_nothing" | "does_not_follow" => {
    if (!sequence.hasBegun) return "joins";
    if (ids.length === 0) return "tells_nothing";
    const [id] = ids;
    // Another server's event without an id may stand anywhere in the stream.
    if (id === undefined) return events > 0 ? "does_not_follow" : "joins";
    const verdict = checkJoin(sequence, id);
    return verdict === "repeats" || verdict === "skips" ? "does_not_follow" : "joins";
  };

  const beginSegment = (headers: RawHeaders, reason: string): StreamSegment => {
    const splitter = createEventSplitter();
    let isJoined = false;
    const comments: Buffer[] = [];
    const begin = () => {
      if (!answer.hasBegun()) answer.begin({ status: STREAM_STATUS, reason, headers });
    };
    const takeBatch = (batch: EventBatch): SegmentStep => {
      begin();
      for (const comment of comments.splice(0)) answer.write(comment);
      return passOn(batch);
    };
    const joinBatch = (batch: EventBatch): SegmentStep => {
      const verdict = judgeJoin(batch);
      switch (verdict) {
        case "joins":
          isJoined = true;
          return takeBatch(batch);
        case "tells_nothing":
          // They may be dropped where there are too many: they are no events.
          if (comments.length < MAX_HELD_COMMENTS) comments.push(batch.bytes);
          return { kind: "held" };
        case "does_not_follow":
          current = undefined;
          return { kind: verdict, eventId: batch.ids[0], behind: sequence.last };
        default:
          return assertNever(verdict);
      }
    };
    const leg: StreamSegment = {
      push: (chunk) => {
        if (current !== leg) return { kind: "held" };
        const batch = splitter.push(chunk);
        if (splitter.countHeld() > LONGEST_EVENT_BYTES) {
          current = undefined;
          return { kind: "too_long" };
        }
        if (!batch) return { kind: "held" };
        return isJoined ? takeBatch(batch) : joinBatch(batch);
      },
      countBytesLeft: splitter.countRest,
      finish: () => {
        if (current !== leg) return;
        begin();
        for (const bytes of [...comments, splitter.takeRest()])
          if (bytes.length > 0) answer.write(bytes);
        answer.end();
      },
    };
    current = leg;
    return leg;
  };

  return {
    beginSegment,
    hasBegun: () => events > 0,
    getEvents: () => events,
    getLastEventId: () => (events > 0 ? sequence.last : undefined),
    canGoOn: () => canName(sequence),
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
