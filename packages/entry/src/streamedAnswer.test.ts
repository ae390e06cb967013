/** Tests of a streamed answer whose caller reads nothing. */
import { createServer, request, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
  createVirtualClock,
  type BackendServerName,
  type GenerationId,
  type Ms,
  type WorkspaceName,
} from "@stairgauge/common";
import { createMetrics } from "@stairgauge/telemetry";
import { MAX_UNSENT_BYTES, READER_IDLE_MS } from "./constants.js";
import { createStreamedAnswer } from "./streamedAnswer.js";
import type { AnswerOver, EntryDeps } from "./types.js";

const SOURCE = { server: "e" as BackendServerName, generation: "g" as GenerationId };
const MAX_TOKENS = 200_000;
const EVENT_BYTES = 1_000;

let server: Server;
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Opens a real HTTP response whose caller reads only the headers. */
const openResponse = () =>
  new Promise<ServerResponse>((resolve) => {
    server = createServer((_request, response) => resolve(response)).listen(
      0,
      "127.0.0.1",
      () => {
        const { port } = server.address() as AddressInfo;
        request({ port, host: "127.0.0.1" }, (answer) => answer.pause())
          .on("error", () => undefined)
          .end();
      },
    );
  });

const createAnswer = (response: ServerResponse) => {
  const clock = createVirtualClock();
  const overs: AnswerOver[] = [];
  const resumeKeys = [{ id: "k", secret: "s".repeat(32) }];
  const deps = { clock, metrics: createMetrics(), resumeKeys } as unknown as EntryDeps;
  const answer = createStreamedAnswer({
    deps,
    response,
    kind: "chat",
    ask: {
      model: "m",
      prompt: "",
      maxTokens: undefined,
      stop: [],
      temperature: undefined,
      isStreamed: true,
      includesUsage: false,
    },
    workspace: "w" as WorkspaceName,
    isContinued: false,
    onOver: (over) => overs.push(over),
  });
  return { clock, answer, overs };
};

/** Sends tokens until the answer asks to stop; returns how many were sent. */
const writeUntilFull = (answer: ReturnType<typeof createAnswer>["answer"]): number => {
  for (let index = 0; index < MAX_TOKENS; index += 1) {
    if (!answer.sink.onToken(index, " token", SOURCE)) return index + 1;
  }
  return MAX_TOKENS;
};

describe("createStreamedAnswer", () => {
  it("asks the relay to stop, with bounded memory, when the caller reads nothing", async () => {
    const response = await openResponse();
    const { answer } = createAnswer(response);
    expect(writeUntilFull(answer)).toBeLessThan(MAX_TOKENS);
    expect(response.writableLength).toBeLessThan(MAX_UNSENT_BYTES + EVENT_BYTES);
  });

  it("disconnects a caller that reads nothing for too long, and ends as left", async () => {
    const response = await openResponse();
    const { clock, answer, overs } = createAnswer(response);
    let leaveCalls = 0;
    answer.attach({ leave: () => (leaveCalls += 1), setBlocked: () => undefined });
    writeUntilFull(answer);
    clock.advance((READER_IDLE_MS - 1) as Ms);
    expect(response.destroyed).toBe(false);
    const closed = new Promise((resolve) => response.on("close", resolve));
    clock.advance(1 as Ms);
    await closed;
    expect(leaveCalls).toBe(1);
    expect(overs).toEqual([{ end: "left" }]);
  });
});
