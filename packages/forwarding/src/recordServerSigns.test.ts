import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import type { LimitSign } from "@stairgauge/limits";
import { makeAnswerHead } from "./answerHead.testkit.js";
import { recordServerSigns } from "./recordServerSigns.js";
import { makeServer } from "./server.testkit.js";
import type { AnswerHead } from "./types.js";

const SERVER = makeServer("page-1");
const NAMED: LimitSign = { kind: "named", perSecond: 1.7 };

const collectSigns = (changes: Partial<AnswerHead>) => {
  const told: unknown[] = [];
  const placer = {
    onAnswered: () => told.push("answered"),
    onConnectionClosing: () => told.push("closing"),
    onLimitSign: (_: unknown, sign: LimitSign, sentAgo: Ms | undefined) =>
      told.push({ sign, sentAgo }),
  };
  const attempt = { server: SERVER, openedAt: 100 as Ms, answeredAt: 130 as Ms };
  recordServerSigns(placer, attempt, makeAnswerHead({ limit: NAMED, ...changes }));
  return told;
};

describe("what the head of an answer says of its server", () => {
  it.each([200, 404, 429, 500, 503])(
    "is its limit, whatever the status: %d",
    (status) => {
      expect(collectSigns({ status, isNotRun: status >= 429 })).toEqual([
        "answered",
        { sign: NAMED, sentAgo: 30 },
      ]);
    },
  );

  it("is that it names none", () => {
    expect(collectSigns({ limit: { kind: "unnamed" } })).toContainEqual({
      sign: { kind: "unnamed" },
      sentAgo: 30,
    });
  });

  it("is nothing of its limit where another server has its address", () => {
    expect(collectSigns({ status: 421, isOtherServer: true })).toEqual(["answered"]);
  });

  it("is the end of its connection beside it", () => {
    expect(collectSigns({ isClosing: true })).toContain("closing");
  });
});
