/**
 * Forwards the events of a run to its client, complete events only.
 *
 * A run may be continued by several servers. Each one's part is a segment with its own splitter, so an
 * incomplete event of one server is never joined to an event of the next.
 */
import { assertNever, type Clock, type Ms } from "@stairgauge/common";
import { HELD_BODY_LIMITS } from "./answerLimits.js";
import { addId, canContinueAfter, checkJoin, createIdSequence } from "./checkJoin.js";
import type { ClientAnswer } from "./clientAnswer.js";
import { createEventSplitter, type EventBatch } from "./eventSplitter.js";
import type { RawHeaders } from "./types.js";

/** Result of pushing a chunk. */
export type SegmentStep = Readonly<
  /** Nothing was forwarded: the chunk completes no event, or the segment was replaced or given up. */
  | { kind: "held" }
  /** Complete events were forwarded; `isClientSlow` if the client's write buffer is full. */
  | { kind: "passed_on"; isClientSlow: boolean }
  /** More bytes than may be held have come without an event. */
  | { kind: "no_event"; bytes: number }
  /** The segment's first event does not follow the client's last one; nothing was forwarded. */
  | {
      kind: "does_not_follow";
      eventId: string | undefined;
      /** Id of the event after which the segment had to continue. */
      behind: string | undefined;
    }
>;

/** The part of a stream that one server sends. */
export type StreamSegment = Readonly<{
  push: (chunk: Buffer) => SegmentStep;
  /** Bytes of an incomplete event. */
  countBytesLeft: () => number;
  /** All bytes that are held: of an incomplete event, and comments. */
  countBytesHeld: () => number;
  /** Gives up what is held; nothing more is forwarded. */
  drop: () => void;
  /** Whether an event of this segment was forwarded. */
  hasEvents: () => boolean;
  /** Ends the stream: the segment is complete and the last one. */
  finish: () => void;
}>;

/** The relay of one stream. */
export type StreamRelay = Readonly<{
  /** Starts the segment of a server. The head of the server whose event is forwarded first is sent; others are dropped. */
  beginSegment: (headers: RawHeaders, reason: string) => StreamSegment;
  hasBegun: () => boolean;
  getEvents: () => number;
  /** Id of the last forwarded event; undefined if there is none or it has no id. */
  getLastEventId: () => string | undefined;
  /** Whether the position can be stated to another server that is to continue the stream. */
  canContinue: () => boolean;
  getPace: () => StreamPace;
}>;

/** Options of a relay. */
export type StreamRelayOptions = Readonly<{
  clock: Clock;
  answer: ClientAnswer;
  /** Id of the event after which the client asked to resume; undefined for a new stream. */
  resumeAfter: string | undefined;
  onFirstEvent: () => void;
  /** Called when events have been forwarded. */
  onEvents: (now: Ms) => void;
}>;

/** Timing of a stream's events as forwarded to the client; times are undefined if there were none. */
export type StreamPace = Readonly<{
  firstEventAt: Ms | undefined;
  longestPause: Ms;
  longestPauseAt: Ms | undefined;
}>;

const STREAM_STATUS = 200;

/** Largest number of buffered comments before the first event of a segment. */
const MAX_HELD_COMMENTS = 16;

/** Creates a relay without segments. */
export const createStreamRelay = (options: StreamRelayOptions): StreamRelay => {
  const { clock, answer, resumeAfter, onFirstEvent, onEvents } = options;
  let current: StreamSegment | undefined;
  let events = 0;
  let sequence = createIdSequence(resumeAfter);
  let firstEventAt: Ms | undefined;
  let lastEventAt: Ms | undefined;
  let longestPause = 0 as Ms;
  let longestPauseAt: Ms | undefined;

  const recordPace = () => {
    const now = clock.monotonic();
    firstEventAt ??= now;
    onEvents(now);
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
    const hasCapacity = answer.write(batch.bytes);
    if (isFirst) onFirstEvent();
    return { kind: "passed_on", isClientSlow: !hasCapacity };
  };

  /** Whether the first events of a segment may be forwarded; a batch of comments alone does not show its position. */
  const classifyJoin = ({
    ids,
  }: EventBatch): "joins" | "tells_nothing" | "does_not_follow" => {
    if (!sequence.hasBegun) return "joins";
    if (ids.length === 0) return "tells_nothing";
    const [id] = ids;
    // The position of another server's event without an id is unknown.
    if (id === undefined) return events > 0 ? "does_not_follow" : "joins";
    const verdict = checkJoin(sequence, id);
    return verdict === "repeats" || verdict === "skips" ? "does_not_follow" : "joins";
  };

  const beginSegment = (headers: RawHeaders, reason: string): StreamSegment => {
    const splitter = createEventSplitter();
    let isJoined = false;
    let hasEvents = false;
    /** Bytes of comments since the last event. */
    let commentBytes = 0;
    const comments: Buffer[] = [];
    let heldCommentBytes = 0;
    const takeComments = () => {
      heldCommentBytes = 0;
      return comments.splice(0);
    };
    const putComments = (bytes: Buffer) => {
      // Excess comments may be dropped, as they are no events.
      if (comments.length >= MAX_HELD_COMMENTS) return;
      comments.push(bytes);
      heldCommentBytes += bytes.length;
    };
    const begin = () => {
      if (!answer.hasBegun()) answer.begin({ status: STREAM_STATUS, reason, headers });
    };
    const sendBatch = (batch: EventBatch): SegmentStep => {
      begin();
      for (const comment of takeComments()) answer.write(comment);
      hasEvents ||= batch.ids.length > 0;
      return passOn(batch);
    };
    const joinBatch = (batch: EventBatch): SegmentStep => {
      const verdict = classifyJoin(batch);
      switch (verdict) {
        case "joins":
          isJoined = true;
          return sendBatch(batch);
        case "tells_nothing":
          putComments(batch.bytes);
          return { kind: "held" };
        case "does_not_follow":
          current = undefined;
          return { kind: verdict, eventId: batch.ids[0], behind: sequence.last };
        default:
          return assertNever(verdict);
      }
    };
    const segment: StreamSegment = {
      push: (chunk) => {
        if (current !== segment) return { kind: "held" };
        const batch = splitter.push(chunk);
        if (batch)
          commentBytes = batch.ids.length > 0 ? 0 : commentBytes + batch.bytes.length;
        const bytes = commentBytes + splitter.countHeldBytes();
        if (bytes > HELD_BODY_LIMITS.streamGap.maxBytes) {
          current = undefined;
          return { kind: "no_event", bytes };
        }
        if (!batch) return { kind: "held" };
        return isJoined ? sendBatch(batch) : joinBatch(batch);
      },
      countBytesLeft: splitter.countPendingBytes,
      countBytesHeld: () => heldCommentBytes + splitter.countHeldBytes(),
      drop: () => {
        if (current === segment) current = undefined;
        takeComments();
        splitter.takePending();
      },
      hasEvents: () => hasEvents,
      finish: () => {
        if (current !== segment) return;
        begin();
        for (const bytes of [...takeComments(), splitter.takePending()])
          if (bytes.length > 0) answer.write(bytes);
        answer.end();
      },
    };
    current = segment;
    return segment;
  };

  return {
    beginSegment,
    hasBegun: () => events > 0,
    getEvents: () => events,
    getLastEventId: () => (events > 0 ? sequence.last : undefined),
    canContinue: () => canContinueAfter(sequence),
    getPace: () => ({ firstEventAt, longestPause, longestPauseAt }),
  };
};

/** Describes the timing of a complete stream, in times since its request was received. */
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
