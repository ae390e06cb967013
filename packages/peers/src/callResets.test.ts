/**
 * Guards the calls that are open on a link against many others that are given up, whose resets make the HTTP/2 library end
 * the connection.
 */
import { Client, credentials, Server, ServerCredentials } from "@grpc/grpc-js";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, createVirtualClock, type Ms } from "@stairgauge/common";
import { createCallResets } from "./callResets.js";
import { createLinkOptions } from "./peerLink.js";
import { callUnary } from "./unaryCall.js";

const BURST = 500;

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const close of cleanups.splice(0)) close();
});

describe("createCallResets", () => {
  it("cancels 500 calls at once, then fewer than 33 a second, the oldest first and none that has ended", () => {
    const clock = createVirtualClock();
    const resets = createCallResets(clock);
    const cancelled: number[] = [];
    const forgets = Array.from({ length: BURST + 100 }, (_, i) =>
      resets.cancel(() => cancelled.push(i)),
    );
    expect(cancelled.length).toBe(BURST);
    forgets[BURST]!();
    clock.advance(1_000 as Ms);
    expect(cancelled.slice(BURST)).toEqual(
      Array.from({ length: 30 }, (_, i) => BURST + 1 + i),
    );
    clock.advance(60_000 as Ms);
    expect(cancelled.length).toBe(BURST + 99);
  });
});

const METHOD = {
  path: "/peers/Ask",
  requestSerialize: (text: string) => Buffer.from(text),
  responseDeserialize: (bytes: Buffer) => bytes.toString(),
};

/** A box that answers questions after the time in ms that they name, but "open" never. */
const openBox = async () => {
  const server = new Server();
  server.addService(
    {
      ask: {
        ...METHOD,
        requestStream: false,
        responseStream: false,
        requestDeserialize: String,
        responseSerialize: (text: string) => Buffer.from(text),
      },
    },
    {
      ask: (call: { request: string }, send: (error: null, answer: string) => void) => {
        if (call.request !== "open")
          setTimeout(() => send(null, "b"), Number(call.request));
      },
    },
  );
  const port = await new Promise<number>((resolve) =>
    server.bindAsync("127.0.0.1:0", ServerCredentials.createInsecure(), (_, bound) =>
      resolve(bound),
    ),
  );
  const client = new Client(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
    createLinkOptions(createSystemClock()),
  );
  cleanups.push(client.close.bind(client), server.forceShutdown.bind(server));
  return { client, method: METHOD };
};

it("a question that is open on a link outlives 2,500 others that are given up", async () => {
  const target = await openBox();
  let isLost = false;
  void callUnary(target, "open", new AbortController().signal).then(() => {
    isLost = true;
  });
  for (let i = 0; i < 50 && !isLost; i += 1) {
    const cancellation = new AbortController();
    const asked = Array.from({ length: 50 }, () =>
      callUnary(target, "40", cancellation.signal),
    );
    await new Promise((resolve) => setTimeout(resolve, 15));
    cancellation.abort();
    const answers = await Promise.all(asked);
    expect(answers.every(({ err }) => err)).toBe(true);
  }
  expect(isLost).toBe(false);
});
