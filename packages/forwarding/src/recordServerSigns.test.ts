import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import {
  NO_SIGNALS,
  type ReceivedSignals,
  type ServerSignals,
} from "@stairgauge/signals";
import { makeAnswerHead } from "./answerHead.testkit.js";
import { recordServerSigns } from "./recordServerSigns.js";
import { makeServer } from "./server.testkit.js";
import type { AnswerHead, ClientRequestId } from "./types.js";

const SERVER = makeServer("page-1");
const SIGNS: ServerSignals = {
  ...NO_SIGNALS,
  isClosing: true,
  limit: { kind: "named", perSecond: 1.7 },
};

const collectSigns = (changes: Partial<AnswerHead>) => {
  const told: unknown[] = [];
  const listener = {
    placer: { onAnswered: () => told.push("answered") },
    dispatchSignals: (heard: ReceivedSignals) => told.push(heard),
  };
  const attempt = {
    server: SERVER,
    request: "r" as ClientRequestId,
    openedAt: 100 as Ms,
    answeredAt: 130 as Ms,
  };
  recordServerSigns(listener, attempt, makeAnswerHead({ signs: SIGNS, ...changes }));
  return told;
};

describe("what the head of an answer says of its server", () => {
  it.each([200, 404, 429, 500, 503])("is taken, whatever the status: %d", (status) => {
    expect(collectSigns({ status, isNotRun: status >= 429 })).toEqual([
      "answered",
      {
        server: SERVER,
        signs: SIGNS,
        source: { kind: "request", request: "r", status, sentAgo: 30 },
      },
    ]);
  });

  it("is nothing where another server has its address", () => {
    expect(collectSigns({ status: 421, isOtherServer: true })).toEqual(["answered"]);
  });
});
