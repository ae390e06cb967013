import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import {
  NO_SIGNALS,
  type ReceivedSignals,
  type ServerSignals,
} from "@stairgauge/signals";
import { makeAnswerHead } from "./answerHead.testkit.js";
import { recordServerSignals } from "./recordServerSignals.js";
import { makeServer } from "./server.testkit.js";
import type { AnswerHead, ClientRequestId } from "./types.js";

const SERVER = makeServer("page-1");
const SIGNALS: ServerSignals = {
  ...NO_SIGNALS,
  isClosing: true,
  limit: { kind: "named", perSecond: 1.7 },
};

const collectSignals = (changes: Partial<AnswerHead>) => {
  const received: unknown[] = [];
  const listener = {
    placer: { onAnswered: () => received.push("answered") },
    dispatchSignals: (signals: ReceivedSignals) => received.push(signals),
  };
  const attempt = {
    server: SERVER,
    request: "r" as ClientRequestId,
    openedAt: 100 as Ms,
    answeredAt: 130 as Ms,
  };
  recordServerSignals(
    listener,
    attempt,
    makeAnswerHead({ signals: SIGNALS, ...changes }),
  );
  return received;
};

describe("recordServerSignals", () => {
  it.each([200, 404, 429, 500, 503])(
    "passes the signals on at any status: %d",
    (status) => {
      expect(collectSignals({ status, isNotRun: status >= 429 })).toEqual([
        "answered",
        {
          server: SERVER,
          signals: SIGNALS,
          source: { kind: "request", request: "r", status, sentAgo: 30 },
        },
      ]);
    },
  );

  it("ignores the signals of another server at the address", () => {
    expect(collectSignals({ status: 421, isOtherServer: true })).toEqual(["answered"]);
  });
});
