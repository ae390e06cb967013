/**
 * Takes the answer of one attempt: holds it, passes it on, or hands its events to the stream's relay, and says how it ended.
 * The client's answer is written to from here for this attempt's bytes only.
 */
import { assertNever } from "@stairgauge/common";
import type { ServerPresence } from "./askServer.js";
import { countBytesLeft, type Attempt } from "./attempt.js";
import { isBodyNeeded, isStreamOf, judgeAttempt } from "./decideNext.js";
import type { AdmittedRequest } from "./forwarderTypes.js";
import { judgeEnd, judgeEndBy, type EndProof } from "./judgeEnd.js";
import type { EndedBy, ExchangeSink } from "./openExchange.js";
import type { SegmentStep, StreamRelay } from "./streamRelay.js";
import type { AnswerHead, ExchangeFailure, HeadCodec } from "./types.js";

/** An answer longer than this is passed on as it comes, since it cannot be held. */
const HELD_ANSWER_BYTES = 512 * 1024;

/** What the dispatch of the request is told of an attempt; at most one of the last three comes, once. */
export type AttemptListener = Readonly<{
  /** Whether the attempt still counts; what comes later is dropped. */
  isCurrent: () => boolean;
  onHead: (head: AnswerHead) => void;
  onStreamBegun: () => void;
  /** A long answer goes out from now on. */
  onPassingOn: () => void;
  /** The answer came whole: by its framing, or because its server's process is still there. */
  onWhole: () => void;
  onFailure: (failure: ExchangeFailure) => void;
  /** The attempt was to go on with a stream that has begun, and answers with something else. */
  onNoStream: () => void;
}>;

/** What taking an answer needs. */
export type AnswerSinkOptions = Readonly<{
  codec: HeadCodec;
  request: AdmittedRequest;
  relay: StreamRelay;
  attempt: Attempt;
  isLeaving: () => boolean;
  /** Asks whether the server is still there; undefined where it cannot be asked. */
  askServer: () => Promise<ServerPresence | undefined>;
  listener: AttemptListener;
}>;

/** Creates the sink of an attempt's exchange. */
export const createAnswerSink = (options: AnswerSinkOptions): ExchangeSink => {
  const { codec, request, relay, attempt, listener } = options;
  const { head, answer } = request;

  const applyPace = (isClientSlow: boolean) => {
    if (isClientSlow) attempt.exchange?.pause();
  };

  const takeHead = (answerHead: AnswerHead, reason: string) => {
    attempt.head = answerHead;
    attempt.reason = reason;
    listener.onHead(answerHead);
    if (isStreamOf(request, answerHead)) {
      const leg = relay.beginSegment(answerHead.passedOn, reason);
      attempt.body = { kind: "stream", leg };
      listener.onStreamBegun();
      return;
    }
    // Nothing but events may follow events: what refuses to go on with a stream is not read.
    if (relay.hasBegun()) listener.onNoStream();
  };

  const appendHeld = (parts: Buffer[], chunk: Buffer) => {
    parts.push(chunk);
    attempt.heldBytes += chunk.length;
    if (attempt.heldBytes > HELD_ANSWER_BYTES) startPassingOn(parts);
  };
  const startPassingOn = (parts: readonly Buffer[]) => {
    const answerHead = attempt.head!;
    if (judgeAttempt({ kind: "answered", head: answerHead }, head.id) !== "final") return;
    listener.onPassingOn();
    const { status, passedOn } = answerHead;
    answer.begin({ status, reason: attempt.reason, headers: passedOn });
    attempt.body = { kind: "passed_on" };
    applyPace(!answer.write(Buffer.concat(parts)));
  };

  const takeData = (chunk: Buffer) => {
    const { body } = attempt;
    switch (body.kind) {
      case "held":
        appendHeld(body.parts, chunk);
        return;
      case "passed_on":
        applyPace(!answer.write(chunk));
        return;
      case "stream":
        takeStep(body.leg.push(chunk));
        return;
      default:
        assertNever(body);
    }
  };
  const takeStep = (step: SegmentStep) => {
    switch (step.kind) {
      case "held":
        return;
      case "passed_on":
        applyPace(step.isClientSlow);
        return;
      case "too_long":
        listener.onFailure({ kind: "malformed", detail: "an event too long to hold" });
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

  const takeEnd = (endedBy: EndedBy) => {
    attempt.endedBy = endedBy;
    const proof = judgeEnd({
      endedBy,
      isBodyNeeded: isBodyNeeded(attempt.head!, head.id),
      isStream: attempt.body.kind === "stream",
      bytesLeft: countBytesLeft(attempt),
      isLeaving: options.isLeaving(),
    });
    takeProof(proof);
  };
  const takeProof = (proof: EndProof) => {
    switch (proof.kind) {
      case "whole":
        listener.onWhole();
        return;
      case "cut":
        listener.onFailure({ kind: "broken", detail: proof.detail });
        return;
      case "unproven":
        void confirmEnd();
        return;
      default:
        assertNever(proof);
    }
  };
  const confirmEnd = async () => {
    const sign = await options.askServer();
    if (listener.isCurrent()) takeProof(judgeEndBy(sign));
  };

  const makeGuarded =
    <Args extends readonly unknown[]>(take: (...args: Args) => void) =>
    (...args: Args) => {
      if (listener.isCurrent()) take(...args);
    };
  return {
    onHead: makeGuarded((status, raw, reason) =>
      takeHead(codec.decodeAnswer(status, raw), reason),
    ),
    onData: makeGuarded(takeData),
    onEnd: makeGuarded(takeEnd),
    onFailure: makeGuarded(listener.onFailure),
  };
};
