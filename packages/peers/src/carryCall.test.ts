/**
 * Guards the requests that are open on a link against the ends of others: the HTTP/2 library ends a connection on which
 * more than 1,000 calls are reset beyond 33 a second, and all calls on it with it.
 */
import { Client, credentials } from "@grpc/grpc-js";
import { afterEach, expect, it } from "vitest";
import { createSystemClock } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { AnswerCarry, CarryFrame } from "@stairgauge/paths";
import { callCarry } from "./carryCall.js";
import { createPeerServer } from "./peerServer.js";
import { createPeerService } from "./service.js";

const REQUESTS = 2_500;
const AT_ONCE = 50;

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

const waitForNothing = () => new Promise<never>(() => undefined);

/** A box that carries, and what sends a request by way of it. */
const openCarrier = async (answerCarry: AnswerCarry) => {
  const service = createPeerService(() => undefined);
  const server = createPeerServer({
    onUpdate: () => undefined,
    makeFirstNotice: () => {
      throw new Error("no stream is open");
    },
    onPeerLost: () => undefined,
    answerTable: waitForNothing,
    answerPlace: waitForNothing,
    answerMoves: waitForNothing,
    answerOrigin: waitForNothing,
    answerCarry,
    onMessage: () => undefined,
    clock: createSystemClock(),
    limits: {
      maxConnections: 10,
      maxCalls: 1_000,
      maxCallsOfConnection: 500,
      maxUnreadBytes: 1_000_000,
      maxUnhandledBytes: 1_000_000,
    },
    onLimit: () => undefined,
  });
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  const client = new Client(`127.0.0.1:${port}`, credentials.createInsecure());
  closers.push(client.close.bind(client), server.close);
  return (target: string, onFrame: (frame: CarryFrame) => void, onEnd: () => void) => {
    const question = {
      server: "s" as ServerId,
      isNewWork: true,
      method: "GET",
      target,
      headers: [],
      body: Buffer.alloc(0),
    };
    return callCarry(client, service, { question, sink: { onFrame, onEnd } });
  };
};

it.each<CarryFrame>([
  { kind: "ended", by: "framing" },
  { kind: "failed", as: "broken", detail: "reset" },
  { kind: "refused", reason: "no_room" },
  { kind: "unreached", detail: "ECONNREFUSED" },
])("a request that is open on a link outlives 2,500 others: $kind", async (last) => {
  const send = await openCarrier((question, answer) => {
    answer.write({ kind: "connected" });
    if (question.target === "/") {
      answer.write(last);
      setImmediate(() => answer.end());
    }
    return { onCancelled: () => undefined, onDrain: () => undefined };
  });
  let lost = 0;
  const countLost = () => {
    lost += 1;
  };
  send("/open", () => undefined, countLost);

  let sent = 0;
  /** Whoever sent the request cancels the call with its last frame. */
  const sendInTurn = async () => {
    while ((sent += 1) <= REQUESTS && lost === 0)
      await new Promise<void>((resolve) => {
        const onEnd = () => {
          countLost();
          resolve();
        };
        const onFrame = ({ kind }: CarryFrame) => {
          if (kind !== last.kind) return;
          call.cancel();
          resolve();
        };
        const call = send("/", onFrame, onEnd);
      });
  };
  await Promise.all(Array.from({ length: AT_ONCE }, sendInTurn));
  expect(lost).toBe(0);
});

// Guards against frames of a byte each that cost a carrier, or a box that does not read them, many times their bytes.
it("an answer in small pieces goes on whole, in order and in few frames, to a box that has not read for a while", async () => {
  const PIECES = 100_000;
  const makePiece = (i: number) => Buffer.of(i % 251);
  let written = 0;
  let hasPaused = false;
  const send = await openCarrier((_, answer) => {
    const writeOn = () => {
      while (written < PIECES) {
        const isOpen = answer.write({ kind: "data", bytes: makePiece(written) });
        written += 1;
        if (isOpen) continue;
        hasPaused = true;
        return;
      }
      answer.write({ kind: "ended", by: "framing" });
      answer.end();
    };
    setImmediate(writeOn);
    return { onCancelled: () => undefined, onDrain: writeOn };
  });
  const received: Buffer[] = [];
  await new Promise<void>((resolve) => {
    const call = send(
      "/",
      (frame) => {
        if (frame.kind === "data") received.push(frame.bytes);
      },
      resolve,
    );
    call.pause();
    setTimeout(call.resume, 200);
  });
  const whole = Buffer.concat(Array.from({ length: PIECES }, (_, i) => makePiece(i)));
  expect(Buffer.concat(received).equals(whole)).toBe(true);
  expect(received.length).toBeLessThan(100);
  expect(hasPaused).toBe(true);
});
