/**
 * Receives the answer of one attempt: buffers it, forwards it to the client, or passes its events to the
 * stream's relay, and reports how it ended.
 */
import {
  assertNever,
  waitFor,
  type BoxName,
  type Clock,
  type Ms,
} from "@stairgauge/common";
import {
  describeExcess,
  HELD_BODY_LIMITS,
  UNCOUNTED_BYTES,
  type AnswerExcess,
} from "./answerLimits.js";
import type { RunStop } from "./activeRuns.js";
import type { ServerPresence } from "./askServer.js";
import { countBytesLeft, hasBodyBegun, type Attempt } from "./attempt.js";
import {
  decideVerdict,
  isBodyNeeded,
  isDecidedByHead,
  isServed,
  isStreamOf,
  type Verdict,
} from "./decideNext.js";
import type { ByteCollector } from "./byteCollector.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import { describeHeadFault, findHeadFault, type HeadFault } from "./checkAnswerHead.js";
import {
  classifyEnd,
  classifyEndByPresence,
  classifyEndByStop,
  classifyRest,
  type EndProof,
  type SettledEnd,
} from "./classifyEnd.js";
import type { EndedBy, ExchangeSink } from "./openExchange.js";
import type { ReclaimableMemory } from "./reclaimableMemory.js";
import type { RunStep } from "./runStep.js";
import type { SegmentStep, StreamRelay, StreamSegment } from "./streamRelay.js";
import type { AnswerHead, ExchangeFailure, HeadCodec } from "./types.js";

/** How long after the end of a stream a leaving server must still run: a stop in order ends streams first, the process soon after. */
const LEAVING_CHECK_MS = 300 as Ms;

/** Callbacks of an attempt; at most one of `onWhole`, `onFailure` and `onHeadOnly` is called, once. */
export type AttemptListener = Readonly<{
  /** Whether the attempt is still the request's current one; if not, the rest of its answer is ignored. */
  isCurrent: () => boolean;
  /** The request is being sent by way of another box. */
  onCarried: (carrier: BoxName) => void;
  onHead: (head: AnswerHead) => void;
  onStreamBegun: () => void;
  /** A long answer is forwarded from now on; `excess` if only for the memory of all answers. */
  onPassingOn: (excess?: AnswerExcess) => void;
  /** The answer is complete, by its framing or because its server's process still runs. */
  onWhole: () => void;
  onFailure: (failure: ExchangeFailure) => void;
  /** The head alone decides what follows; the body is not read. */
  onHeadOnly: () => void;
}>;

/** Options of the sink. */
export type AnswerSinkOptions = Readonly<{
  clock: Clock;
  codec: HeadCodec;
  request: AdmittedRequest;
  relay: StreamRelay;
  attempt: Attempt;
  /** The memory of all answers that are held. */
  memory: ReclaimableMemory;
  /** Whether the attempt's server gets no new work because it is about to stop. */
  isLeaving: () => boolean;
  /** Whether another attempt would be possible and allowed after this verdict on the answer. */
  mayRetryAfter: (verdict: Verdict) => boolean;
  /** Finds out whether this box had the attempt's run stopped there. */
  findStop: () => Promise<RunStop>;
  /** Keeps the proof of an end that is left to the next server, for the event that the client has last. */
  recordOpenEnd: (proof: Promise<SettledEnd>) => void;
  /** The proof that was kept for the client's last event; undefined if there is none. */
  findOpenEnd: () => Promise<SettledEnd> | undefined;
  /** Sends a health check to the server; resolves with undefined if it has no health path. */
  askServer: () => Promise<ServerPresence | undefined>;
  listener: AttemptListener;
  /** Runs a step of the dispatch; if it throws, the request ends. */
  runStep: RunStep;
}>;

/** Creates the sink of an attempt's exchange. */
export const createAnswerSink = (options: AnswerSinkOptions): ExchangeSink => {
  const { codec, request, relay, attempt, listener } = options;
  const { head, answer } = request;

  const applyPace = (isClientSlow: boolean) => {
    if (isClientSlow) attempt.exchange?.pause();
  };

  const handleHead = (answerHead: AnswerHead, reason: string) => {
    attempt.head = answerHead;
    attempt.reason = reason;
    listener.onHead(answerHead);
    if (isStreamOf(request, answerHead)) {
      const segment = relay.beginSegment(answerHead.forwardedHeaders, reason);
      attempt.body = { kind: "stream", segment };
      listener.onStreamBegun();
      return;
    }
    // Only events may follow events, so any other answer to a continuation is not read.
    if (relay.hasBegun()) listener.onHeadOnly();
    else if (!isFinal(answerHead)) awaitShortBody(answerHead);
  };
  /** A short body arrives with its head; one that does not is awaited only if it may be forwarded. */
  const awaitShortBody = (answerHead: AnswerHead) => {
    const decide = wrapIfCurrent(() => {
      if (isHeadEnough(answerHead)) listener.onHeadOnly();
      else limitBodyTime();
    });
    // The end of an answer is reported one turn of the event loop after its last bytes.
    setImmediate(() => setImmediate(decide));
  };
  const isHeadEnough = (answerHead: AnswerHead): boolean =>
    isDecidedByHead({
      head: answerHead,
      id: head.id,
      route: request.route,
      mayRetryAfter: options.mayRetryAfter,
    });
  const isFinal = (answerHead: AnswerHead): boolean =>
    decideVerdict({ kind: "answered", head: answerHead }, head.id) === "final";

  /** Gives up a body that is held only to be forwarded as a whole; the head decides then. */
  const dropBody = (excess: AnswerExcess) => {
    // Other answers have used up the memory of all: that is no fault of this server.
    attempt.isBodyDropped = excess.limit !== "held_memory";
    attempt.exchange?.cancelFor(excess);
    listener.onHeadOnly();
  };
  const limitBodyTime = () => {
    const dropSlowBody = wrapIfCurrent(() => {
      if (attempt.endedBy === undefined)
        dropBody({ limit: "held_body_time", bytes: attempt.heldBytes });
    });
    attempt.bodyTimer = options.clock.setTimeLimit(
      HELD_BODY_LIMITS.failure.maxTime,
      dropSlowBody,
    );
  };

  const failByHead = (fault: HeadFault) => {
    attempt.exchange?.cancel();
    listener.onFailure({ kind: "malformed", detail: describeHeadFault(fault) });
  };

  const appendHeld = (held: ByteCollector, chunk: Buffer) => {
    held.append(chunk);
    attempt.heldBytes += chunk.length;
    const { answer: sound, failure } = HELD_BODY_LIMITS;
    if (attempt.heldBytes <= failure.maxBytes) return;
    if (!isFinal(attempt.head!))
      dropBody({ limit: "held_body", bytes: attempt.heldBytes });
    else if (attempt.heldBytes > sound.maxBytes) startPassingOn(held);
  };
  const startPassingOn = (held: ByteCollector, excess?: AnswerExcess) => {
    const answerHead = attempt.head!;
    attempt.heldMemory?.set(0);
    listener.onPassingOn(excess);
    const { status, forwardedHeaders } = answerHead;
    answer.begin({ status, reason: attempt.reason, headers: forwardedHeaders });
    attempt.body = { kind: "passed_on" };
    applyPace(!answer.write(held.join()));
  };

  /** Gives up what is held, since others need the memory and this answer has been held for longest. */
  const releaseMemory = () => {
    const { body } = attempt;
    switch (body.kind) {
      case "held": {
        const excess = { limit: "held_memory", bytes: attempt.heldBytes } as const;
        if (isFinal(attempt.head!)) startPassingOn(body.bytes, excess);
        else dropBody(excess);
        return;
      }
      case "stream": {
        const { segment } = body;
        const bytes = segment.countBytesHeld();
        segment.drop();
        failStream({ limit: "held_memory", bytes });
        return;
      }
      case "passed_on":
        return;
      default:
        assertNever(body);
    }
  };
  const countHeld = (bytes: number) => {
    const counted = bytes > UNCOUNTED_BYTES ? bytes : 0;
    if (counted > 0)
      attempt.heldMemory ??= options.memory.open(wrapIfCurrent(releaseMemory));
    attempt.heldMemory?.set(counted);
  };

  const handleData = (chunk: Buffer) => {
    const { body } = attempt;
    switch (body.kind) {
      case "held":
        appendHeld(body.bytes, chunk);
        if (attempt.body === body) countHeld(attempt.heldBytes);
        return;
      case "passed_on":
        applyPace(!answer.write(chunk));
        return;
      case "stream":
        handleStep(body.segment, body.segment.push(chunk));
        return;
      default:
        assertNever(body);
    }
  };
  const handleStep = (segment: StreamSegment, step: SegmentStep) => {
    switch (step.kind) {
      case "held":
        countHeld(segment.countBytesHeld());
        return;
      case "passed_on":
        applyPace(step.isClientSlow);
        // What is held now has come with this event at the earliest.
        attempt.heldMemory?.set(0);
        countHeld(segment.countBytesHeld());
        return;
      case "no_event":
        failStream({ limit: "stream_gap", bytes: step.bytes });
        return;
      case "does_not_follow":
        listener.onFailure({
          kind: "malformed",
          detail: `event ${step.eventId} does not follow ${step.behind}`,
        });
        return;
      default:
        assertNever(step);
    }
  };

  const failStream = (excess: AnswerExcess) => {
    attempt.exchange?.cancelFor(excess);
    listener.onFailure({ kind: "malformed", detail: describeExcess(excess) });
  };

  const handleEnd = (endedBy: EndedBy) => {
    attempt.endedBy = endedBy;
    const proof = classifyEnd({
      endedBy,
      isBodyNeeded: isBodyNeeded(attempt.head!, head.id),
      bytesLeft: countBytesLeft(attempt),
      isStreamUnbegun:
        request.route.kind === "stream" &&
        isServed(attempt.head!, head.id) &&
        !hasBodyBegun(attempt),
      isEndLeftOpen: options.findOpenEnd() !== undefined,
      isSettledElsewhere:
        attempt.body.kind === "stream" &&
        request.route.isResumable &&
        options.isLeaving(),
    });
    applyProof(proof);
  };
  const applyProof = (proof: EndProof) => {
    switch (proof.kind) {
      case "whole":
        listener.onWhole();
        return;
      case "cut":
        listener.onFailure({ kind: "broken", detail: proof.detail });
        return;
      case "unproven":
        options.runStep(confirmEnd);
        return;
      case "left_to_next":
        registerOpenEnd();
        listener.onFailure({ kind: "broken", detail: proof.detail });
        return;
      default:
        assertNever(proof);
    }
  };
  /** Asks twice where a leaving server has ended a stream, since it answers for a while if it stops its process in order. */
  const findPresenceProof = async (): Promise<SettledEnd> => {
    const isLeavingStream = attempt.body.kind === "stream" && options.isLeaving();
    const proof = classifyEndByPresence(await options.askServer());
    if (!isLeavingStream || proof.kind !== "whole") return proof;
    await waitFor(options.clock, LEAVING_CHECK_MS);
    return classifyEndByPresence(await options.askServer());
  };
  const findProof = async (): Promise<SettledEnd> => {
    const proof = classifyEndByStop(await options.findStop());
    if (proof.kind !== "unproven") return proof;
    const byPresence = await findPresenceProof();
    // A stop may have been asked for meanwhile, since a lost connection doesn't end a run.
    const later = classifyEndByStop(await options.findStop());
    return later.kind === "unproven" ? byPresence : later;
  };
  /** Asks this server at once, as one that leaves may be gone when the next one has ended. */
  const registerOpenEnd = () => {
    const proof = findProof();
    options.recordOpenEnd(proof);
    options.runStep(() => proof);
  };
  const findProofOfRest = async (): Promise<SettledEnd> => {
    const openEnd = hasBodyBegun(attempt) ? undefined : options.findOpenEnd();
    const [former, own] = await Promise.all([openEnd, findProof()]);
    return former === undefined ? own : classifyRest(former, own);
  };
  const confirmEnd = async () => {
    const proof = await findProofOfRest();
    if (listener.isCurrent()) applyProof(proof);
  };

  const wrapIfCurrent =
    <Args extends readonly unknown[]>(handle: (...args: Args) => void) =>
    (...args: Args) => {
      if (listener.isCurrent()) options.runStep(() => handle(...args));
    };
  return {
    onCarried: wrapIfCurrent(listener.onCarried),
    onHead: wrapIfCurrent((status, headers, reason) => {
      const fault = findHeadFault({ status, headers, reason });
      if (fault) failByHead(fault);
      else handleHead(codec.decodeAnswer(status, headers), reason);
    }),
    onData: wrapIfCurrent(handleData),
    onEnd: wrapIfCurrent(handleEnd),
    onFailure: wrapIfCurrent(listener.onFailure),
  };
};
