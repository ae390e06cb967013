/** Guards against a box that waits without an end for an answer, since the box that it asked threw before it gave one. */
import { Client, credentials } from "@grpc/grpc-js";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { INITIAL_REVISION } from "@stairgauge/storefeed";
import { callCarry } from "./carryCall.js";
import { createPeerServer } from "./peerServer.js";
import { createPeerService } from "./service.js";
import { createTableStream } from "./tableStream.js";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

const failToAnswer = () => {
  throw new Error("fault of the test");
};

/** A box that throws whatever it is asked, and a client of it. */
const openThrowing = async () => {
  const service = createPeerService(() => undefined);
  const server = createPeerServer({
    onUpdate: failToAnswer,
    makeFirstNotice: failToAnswer,
    onPeerLost: () => undefined,
    answerTable: failToAnswer,
    answerPlace: failToAnswer,
    answerMoves: failToAnswer,
    answerOrigin: failToAnswer,
    answerCarry: failToAnswer,
    onMessage: () => undefined,
    clock: createSystemClock(),
    limits: {
      maxConnections: 10,
      maxCalls: 10,
      maxCallsOfConnection: 10,
      maxUnreadBytes: 1_000,
      maxUnhandledBytes: 1_000_000,
    },
    onLimit: () => undefined,
  });
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  const client = new Client(`127.0.0.1:${port}`, credentials.createInsecure());
  closers.push(client.close.bind(client), server.close);
  return { client, service };
};

describe("an answerer that throws", () => {
  it.each([
    { kind: "whole", table: "a", atLeast: INITIAL_REVISION },
    { kind: "changes", table: "a", since: INITIAL_REVISION, wait: 1 as Ms },
  ] as const)("fails the question: $kind", async (question) => {
    const { client, service } = await openThrowing();
    const tables = createTableStream({ clock: createSystemClock(), client, service });
    const answered = await tables.ask(question, new AbortController().signal);
    expect(answered.val).toEqual({
      kind: "failed",
      detail: "Error: fault of the test",
    });
  });

  it("ends the call that it should carry", async () => {
    const { client, service } = await openThrowing();
    const question = {
      server: "s" as ServerId,
      isNewWork: true,
      method: "GET",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
    };
    const detail = await new Promise((onEnd) =>
      callCarry(client, service, {
        question,
        sink: { onFrame: () => undefined, onEnd },
      }),
    );
    expect(detail).toBe("Error: fault of the test");
  });
});
