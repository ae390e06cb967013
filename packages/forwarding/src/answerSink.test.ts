/** What an answer gives up when all answers together use up the memory for those that are held. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import { makeAnswerHead } from "./answerHead.testkit.js";
import { createAnswerSink } from "./answerSink.js";
import type { AnswerExcess } from "./answerLimits.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import { createAttempt } from "./attempt.js";
import type { ClientAnswer } from "./clientAnswer.js";
import { createReclaimableMemory, type ReclaimableMemory } from "./reclaimableMemory.js";
import { createStreamRelay } from "./streamRelay.js";
import type { AnswerHead, HeadCodec } from "./types.js";

const KB = 1024;

type Kind = "plain" | "stream";

/** An answer that arrives; `getSteps` lists what became of it. */
const receiveAnswer = (
  memory: ReclaimableMemory,
  answerHead: AnswerHead,
  kind: Kind = "plain",
) => {
  const clock = createVirtualClock();
  const steps: string[] = [];
  let sentBytes = 0;
  let hasBegun = false;
  let isOver = false;
  const answer: ClientAnswer = {
    hasBegun: () => hasBegun,
    isOver: () => false,
    sendWhole: () => undefined,
    begin: () => {
      hasBegun = true;
    },
    write: (bytes) => {
      sentBytes += bytes.length;
      return true;
    },
    end: () => undefined,
    break: () => undefined,
    onDrain: () => undefined,
  };
  const attempt = createAttempt({
    server: {} as BackendServer,
    openedAt: 0 as Ms,
    requestsThere: 0,
    eventsBefore: 0,
    release: () => undefined,
  });
  const endBy = (step: string) => {
    steps.push(step);
    attempt.heldMemory?.set(0);
    isOver = true;
  };
  const recordExcess = ({ limit, bytes }: AnswerExcess) =>
    steps.push(`${limit} ${bytes / KB}`);
  attempt.exchange = {
    cancel: () => undefined,
    cancelFor: recordExcess,
    pause: () => undefined,
    resume: () => undefined,
    isSent: () => true,
  };
  const request = {
    head: { id: undefined },
    route: { kind, isResumable: false, isRepeatable: false },
    answer,
  } as unknown as AdmittedRequest;
  const relay = createStreamRelay({
    clock,
    answer,
    resumeAfter: undefined,
    onFirstEvent: () => undefined,
    onEvents: () => undefined,
  });
  const sink = createAnswerSink({
    clock,
    codec: { decodeAnswer: () => answerHead } as unknown as HeadCodec,
    request,
    relay,
    attempt,
    memory,
    isLeaving: () => false,
    mayRetryAfter: () => false,
    findStop: () => Promise.resolve("none"),
    recordOpenEnd: () => undefined,
    findOpenEnd: () => undefined,
    askServer: () => Promise.resolve(undefined),
    runStep: (step) => void step(),
    listener: {
      isCurrent: () => !isOver,
      onCarried: () => undefined,
      onHead: () => undefined,
      onStreamBegun: () => undefined,
      onPassingOn: (excess) => {
        steps.push("passed on");
        if (excess) recordExcess(excess);
      },
      onWhole: () => endBy("whole"),
      onFailure: (failure) => endBy(failure.kind),
      onHeadOnly: () => endBy("by head"),
    },
  });
  sink.onHead(answerHead.status, [], "");
  return {
    attempt,
    receive: (text: string) => sink.onData(Buffer.from(text)),
    receiveKb: (kb: number) => sink.onData(Buffer.alloc(kb * KB, "x")),
    end: () => sink.onEnd("framing"),
    getSteps: () => steps,
    countSentKb: () => sentBytes / KB,
  };
};

const SOUND = makeAnswerHead({ contentLength: 400 * KB });
const FAILURE = makeAnswerHead({ status: 500, contentLength: 400 * KB });
const EVENTS = makeAnswerHead({ isEventStream: true });

/** Guards against a box that ends because many answers are held, each of them within its own limit. */
describe("createAnswerSink, where held answers use up their memory", () => {
  it("passes the sound answer on that has been held for longest, and holds the others", () => {
    const memory = createReclaimableMemory(300 * KB);
    const [first, second] = [1, 2].map(() => receiveAnswer(memory, SOUND));
    first!.receiveKb(200);
    second!.receiveKb(100);
    expect(first!.getSteps()).toEqual([]);
    second!.receiveKb(10);
    expect(first!.getSteps()).toEqual(["passed on", "held_memory 200"]);
    expect(first!.countSentKb()).toBe(200);
    first!.receiveKb(300);
    first!.end();
    expect(first!.countSentKb()).toBe(500);
    expect(first!.getSteps()).toEqual(["passed on", "held_memory 200", "whole"]);
    second!.receiveKb(190);
    expect(second!.getSteps()).toEqual([]);
  });

  it("decides about a failure by its head, and blames nobody for it", () => {
    const memory = createReclaimableMemory(100 * KB);
    const failure = receiveAnswer(memory, FAILURE);
    failure.receiveKb(60);
    receiveAnswer(memory, SOUND).receiveKb(50);
    expect(failure.getSteps()).toEqual(["held_memory 60", "by head"]);
    expect(failure.attempt.isBodyDropped).toBe(false);
  });

  it("ends a stream whose event has been held for longest", () => {
    const memory = createReclaimableMemory(100 * KB);
    const stream = receiveAnswer(memory, EVENTS, "stream");
    stream.receive("data: a\n\ndata: ");
    stream.receiveKb(60);
    receiveAnswer(memory, SOUND).receiveKb(50);
    expect(stream.getSteps()[0]).toMatch(/^held_memory 60/);
    expect(stream.getSteps()[1]).toBe("malformed");
    const { body } = stream.attempt;
    expect(body.kind === "stream" && body.segment.countBytesHeld()).toBe(0);
  });

  it("takes a stream whose events arrive in parts for one that holds the last part only", () => {
    const memory = createReclaimableMemory(100 * KB);
    const stream = receiveAnswer(memory, EVENTS, "stream");
    const sound = receiveAnswer(memory, SOUND);
    stream.receive(`data: ${"x".repeat(30 * KB)}`);
    sound.receiveKb(60);
    stream.receive(`\n\ndata: ${"x".repeat(30 * KB)}`);
    sound.receiveKb(20);
    expect(stream.getSteps()).toEqual([]);
    expect(sound.getSteps()).toEqual(["passed on", "held_memory 80"]);
  });

  it("counts nothing of short answers, and nothing of those that have ended", () => {
    const memory = createReclaimableMemory(10 * KB);
    const short = Array.from({ length: 10 }, () => receiveAnswer(memory, SOUND));
    for (const answer of short) answer.receiveKb(4);
    const ended = receiveAnswer(memory, SOUND);
    ended.receiveKb(9);
    ended.end();
    const last = receiveAnswer(memory, SOUND);
    last.receiveKb(9);
    for (const answer of [...short, last]) expect(answer.getSteps()).toEqual([]);
  });

  it("passes an answer on that needs more than there is by itself", () => {
    const memory = createReclaimableMemory(50 * KB);
    const answer = receiveAnswer(memory, SOUND);
    answer.receiveKb(60);
    expect(answer.getSteps()).toEqual(["passed on", "held_memory 60"]);
    expect(answer.countSentKb()).toBe(60);
  });
});
