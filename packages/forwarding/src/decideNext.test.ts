import { describe, expect, it, vi } from "vitest";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { Route, RouteName } from "@stairgauge/routing";
import {
  decideNext,
  decideVerdict,
  isDecidedByHead,
  type AttemptEnd,
} from "./decideNext.js";
import { makeAnswerHead } from "./answerHead.testkit.js";
import type { AnswerHead, ClientRequestId, ExchangeFailure } from "./types.js";

const id = "r1" as ClientRequestId;

const makeHead = (changes: Partial<AnswerHead>): AnswerHead =>
  makeAnswerHead({ requestId: id, ...changes });

const makeRoute = (kind: Route["kind"], isResumable = false): Route => ({
  name: "r" as RouteName,
  host: "a.example",
  pathPrefix: "/",
  kind,
  isResumable,
  isKeyless: true,
  answerLimit: 100 as Ms,
  firstAnswerAim: 10 as Ms,
  pauseAim: undefined,
  maxServers: 2,
  tier: 0,
  shares: [{ service: "s" as ServiceName, weight: 1 }],
});

const makeAnswered = (changes: Partial<AnswerHead>): AttemptEnd => ({
  kind: "answered",
  head: makeHead(changes),
});
const makeFailed = (kind: ExchangeFailure["kind"]): AttemptEnd => ({
  kind: "failed",
  failure: { kind, detail: "" },
});

const ENDS = {
  success: makeAnswered({}),
  unsigned: makeAnswered({ isSigned: false }),
  encoded: makeAnswered({ isEncoded: true }),
  crossed: makeAnswered({ requestId: "another" as ClientRequestId }),
  "crossed promise": makeAnswered({
    status: 503,
    isNotRun: true,
    requestId: "another" as ClientRequestId,
  }),
  full: makeAnswered({ status: 503, isNotRun: true, isSigned: false }),
  "bare 503": makeAnswered({ status: 503, isSigned: false }),
  "bare 429": makeAnswered({ status: 429, isSigned: false }),
  "other server": makeAnswered({ status: 421, isOtherServer: true, isSigned: false }),
  error: makeAnswered({ status: 500 }),
  "not found": makeAnswered({ status: 404 }),
  unreachable: makeFailed("unreachable"),
  unsendable: makeFailed("unsendable"),
  broken: makeFailed("broken"),
  malformed: makeFailed("malformed"),
} as const;

const step = (
  name: keyof typeof ENDS,
  route: Route,
  canRetry: boolean,
  ranBefore = false,
) =>
  decideNext({
    end: ENDS[name],
    verdict: decideVerdict(ENDS[name], id),
    route,
    mayHaveRunBefore: ranBefore,
    takeRetry: () => canRetry,
  }).kind;

describe("decideNext", () => {
  it.each([
    ["success", "pass_on", "pass_on"],
    ["unsigned", "answer_unknown", "retry"],
    ["encoded", "answer_unknown", "retry"],
    ["crossed", "answer_unknown", "retry"],
    ["crossed promise", "answer_unknown", "retry"],
    ["full", "retry", "retry"],
    ["bare 503", "answer_unknown", "retry"],
    ["bare 429", "answer_unknown", "retry"],
    ["other server", "retry", "retry"],
    ["error", "pass_on", "retry"],
    ["not found", "pass_on", "pass_on"],
    ["unreachable", "retry", "retry"],
    ["unsendable", "retry", "retry"],
    ["broken", "answer_unknown", "retry"],
    ["malformed", "answer_unknown", "retry"],
  ] as const)(
    "after %s: on a once route %s, on a repeatable route %s",
    (name, once, repeatable) => {
      expect(step(name, makeRoute("once"), true)).toBe(once);
      expect(step(name, makeRoute("stream"), true)).toBe(once);
      expect(step(name, makeRoute("repeatable"), true)).toBe(repeatable);
      expect(step(name, makeRoute("stream", true), true)).toBe(repeatable);
    },
  );

  it.each([
    ["full", "pass_on"],
    ["other server", "answer_not_run"],
    ["unreachable", "answer_not_run"],
    ["unsendable", "answer_not_run"],
    ["broken", "answer_unknown"],
    ["error", "pass_on"],
  ] as const)("after %s without another server: %s", (name, expected) => {
    expect(step(name, makeRoute("once"), false)).toBe(expected);
  });

  it.each([
    ["success", "repeatable"],
    ["not found", "repeatable"],
    ["success", "once"],
    ["error", "once"],
    ["broken", "once"],
    ["broken", "stream"],
  ] as const)(
    "takes nothing from the retry budget after %s on a %s route",
    (name, kind) => {
      const takeRetry = vi.fn(() => true);
      const end = ENDS[name];
      const verdict = decideVerdict(end, id);
      const route = makeRoute(kind);
      decideNext({ end, verdict, route, mayHaveRunBefore: false, takeRetry });
      expect(takeRetry).not.toHaveBeenCalled();
    },
  );

  it("answers unknown if an earlier attempt may have run", () => {
    expect(step("full", makeRoute("once"), false, true)).toBe("answer_unknown");
    expect(step("unreachable", makeRoute("once"), false, true)).toBe("answer_unknown");
  });

  it("forwards no failure whose body was not read to the end", () => {
    const end = { ...makeAnswered({ status: 500 }), isBodyUnproven: true };
    const route = makeRoute("once");
    const inputs = { end, route, mayHaveRunBefore: false, takeRetry: () => true };
    const { kind } = decideNext({ ...inputs, verdict: decideVerdict(end, id) });
    expect(kind).toBe("answer_unknown");
  });
});

describe("isDecidedByHead", () => {
  const isDecided = (
    changes: Partial<AnswerHead>,
    kind: Route["kind"],
    mayRetry: boolean,
  ) =>
    isDecidedByHead({
      head: makeHead(changes),
      id,
      route: makeRoute(kind),
      mayRetryAfter: () => mayRetry,
    });

  it.each([
    ["a success", {}, [false, false, false, false]],
    ["a 404", { status: 404 }, [false, false, false, false]],
    ["no signature", { isSigned: false }, [true, true, true, true]],
    ["a bare 503", { status: 503 }, [true, true, true, true]],
    ["a refusal", { status: 503, isNotRun: true }, [false, true, false, true]],
    ["another server", { status: 421, isOtherServer: true }, [true, true, true, true]],
    ["a failure", { status: 500 }, [false, false, false, true]],
  ] as const)(
    "%s: on a once route without and with another attempt, and on a repeatable one",
    (_, changes, expected) => {
      const decided = (["once", "repeatable"] as const).flatMap((kind) =>
        [false, true].map((mayRetry) => isDecided(changes, kind, mayRetry)),
      );
      expect(decided).toEqual(expected);
    },
  );
});
