/** Compares a stream session with plain concatenation of tokens, under invalid frames and broken links. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { BackendServerName, GenerationId, Ms } from "@stairgauge/common";
import type { LinkFailure } from "@stairgauge/outcomes";
import { LINK_SILENCE_MS, MAX_RESUMES_WITHOUT_PROGRESS } from "./constants.js";
import { createStreamSession, type SessionOptions } from "./streamSession.js";
import type { EngineFrame, SessionAction } from "./types.js";

const SERVER = "engine-1" as BackendServerName;
const OTHER_SERVER = "engine-2" as BackendServerName;
const SEED = 20261202;
const CLOSED_EARLY: LinkFailure = { kind: "closed_early", detail: "test" };

const createSession = (options: Partial<SessionOptions> = {}) => {
  let generationCount = 0;
  return createStreamSession({
    createGenerationId: () => `g${++generationCount}` as GenerationId,
    deliversAtOnce: true,
    mayRunAgain: true,
    ...options,
  });
};

const makeToken = (generation: string, index: number): EngineFrame => ({
  kind: "token",
  generation: generation as GenerationId,
  index,
  text: `${generation}:${index} `,
});

const makeEnd = (generation: string, tokens: number): EngineFrame => ({
  kind: "end",
  generation: generation as GenerationId,
  reason: "stop",
  tokens,
  promptTokens: 1,
});

const findOpenLink = (actions: readonly SessionAction[]) =>
  actions.find((action) => action.kind === "openLink");

/** Applies generated steps to a session, performs its actions, then sends the rest of the answer. */
const runSteps = (
  session: ReturnType<typeof createSession>,
  steps: readonly Readonly<{ kind: string; offset: number }>[],
  length: number,
) => {
  let link = 0;
  let generation = "";
  let delivered = "";
  let ending: SessionAction["kind"] | undefined;
  const apply = (actions: readonly SessionAction[]) => {
    for (const action of actions) {
      if (action.kind === "deliver") delivered += action.text;
      if (action.kind === "discard") delivered = "";
      if (action.kind === "finish" || action.kind === "fail") ending ??= action.kind;
      if (action.kind === "openLink") ({ link, generation } = action);
      if (action.kind === "requestPlacement") {
        apply(session.handle({ kind: "placed", server: OTHER_SERVER }, 0 as Ms));
      }
    }
  };
  const sendFrame = (frame: EngineFrame, on = link) =>
    apply(session.handle({ kind: "frame", link: on, frame }, 0 as Ms));

  apply(session.handle({ kind: "placed", server: SERVER }, 0 as Ms));
  for (const { kind, offset } of steps) {
    const next = session.getNextIndex();
    if (ending) break;
    if (kind === "next" && next < length) sendFrame(makeToken(generation, next));
    if (kind === "repeat")
      sendFrame(makeToken(generation, Math.max(0, next - 1 - offset)));
    if (kind === "skip") sendFrame(makeToken(generation, next + 1 + offset));
    if (kind === "foreign") sendFrame(makeToken("foreign", next));
    if (kind === "stale") sendFrame(makeToken(generation, next), link - 1);
    if (kind === "earlyEnd") sendFrame(makeEnd(generation, length));
    if (kind === "close") {
      apply(session.handle({ kind: "linkEnded", link, failure: CLOSED_EARLY }, 0 as Ms));
    }
  }
  for (let i = 0; i < 2 * length && !ending; i += 1) {
    const next = session.getNextIndex();
    sendFrame(next < length ? makeToken(generation, next) : makeEnd(generation, length));
  }
  return { delivered, generation, ending };
};

const STEP = fc.record({
  kind: fc.constantFrom(
    "next",
    "repeat",
    "skip",
    "foreign",
    "stale",
    "earlyEnd",
    "close",
  ),
  offset: fc.nat(3),
});

const buildAnswer = (generation: string, length: number) =>
  Array.from({ length }, (_, index) => `${generation}:${index} `).join("");

describe("createStreamSession", () => {
  it("delivers the tokens of one generation in order, or a prefix of them, for any sequence of frames", () => {
    const run = fc.property(
      fc.array(STEP, { maxLength: 60 }),
      fc.boolean(),
      (steps, atOnce) => {
        const session = createSession({ deliversAtOnce: atOnce });
        const { delivered, generation, ending } = runSteps(session, steps, 12);
        const whole = buildAnswer(generation, 12);
        if (ending === "finish") expect(delivered).toBe(whole);
        else expect(whole.startsWith(delivered)).toBe(true);
      },
    );
    fc.assert(run, { seed: SEED, numRuns: 1_000 });
  });

  it("restarts with a new generation when the link ends before a token was delivered", () => {
    const session = createSession();
    session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
    const actions = session.handle(
      { kind: "linkEnded", link: 1, failure: CLOSED_EARLY },
      0 as Ms,
    );
    expect(actions.map((action) => action.kind)).toEqual([
      "cancelGeneration",
      "discard",
      "requestPlacement",
    ]);
    const opened = findOpenLink(
      session.handle({ kind: "placed", server: OTHER_SERVER }, 0 as Ms),
    );
    expect(opened).toMatchObject({
      generation: "g2",
      server: OTHER_SERVER,
      mode: { kind: "start" },
    });
  });

  it("resumes the same generation after a token was delivered, and fails after too many resumes without progress", () => {
    const session = createSession();
    session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
    session.handle({ kind: "frame", link: 1, frame: makeToken("g1", 0) }, 0 as Ms);
    let link = 1;
    let actions: readonly SessionAction[] = [];
    for (let i = 0; i <= MAX_RESUMES_WITHOUT_PROGRESS; i += 1) {
      actions = session.handle(
        { kind: "linkEnded", link, failure: CLOSED_EARLY },
        0 as Ms,
      );
      const opened = findOpenLink(actions);
      if (opened?.kind !== "openLink") break;
      expect(opened).toMatchObject({
        generation: "g1",
        mode: { kind: "resume", from: 1 },
      });
      link = opened.link;
    }
    expect(actions).toMatchObject([
      {
        kind: "fail",
        failure: { kind: "generation_lost", delivered: 1, outcome: "unknown" },
      },
    ]);
  });

  it("fails with generation_lost at once when the generation is gone", () => {
    const session = createSession();
    session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
    session.handle({ kind: "frame", link: 1, frame: makeToken("g1", 0) }, 0 as Ms);
    const gone = { kind: "generation_gone" } as const;
    const actions = session.handle(
      { kind: "linkEnded", link: 1, failure: gone },
      0 as Ms,
    );
    expect(actions).toMatchObject([
      { kind: "fail", failure: { kind: "generation_lost" } },
    ]);
  });

  it("fails with not_run only if no attempt can have reached an engine", () => {
    const refused = { kind: "connect_failed", detail: "ECONNREFUSED" } as const;
    const fail = (failures: readonly LinkFailure[]) => {
      const session = createSession();
      let last: readonly SessionAction[] = [];
      failures.forEach((failure, i) => {
        session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
        last = session.handle({ kind: "linkEnded", link: i + 1, failure }, 0 as Ms);
      });
      return last.find((action) => action.kind === "fail")?.failure.outcome;
    };
    expect(fail([refused, refused, refused, refused])).toBe("not_run");
    expect(fail([refused, CLOSED_EARLY, refused, refused])).toBe("unknown");
  });

  it("does not retry a request that may have run when mayRunAgain is false", () => {
    const session = createSession({ mayRunAgain: false });
    session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
    const actions = session.handle(
      { kind: "linkEnded", link: 1, failure: CLOSED_EARLY },
      0 as Ms,
    );
    expect(actions).toMatchObject([{ kind: "fail", failure: { outcome: "unknown" } }]);
  });

  it("keeps a link open while heartbeats arrive, and resumes on a new link after silence", () => {
    const session = createSession();
    session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
    session.handle({ kind: "frame", link: 1, frame: makeToken("g1", 0) }, 0 as Ms);
    const heartbeat = { kind: "frame", link: 1, frame: { kind: "heartbeat" } } as const;
    expect(session.handle(heartbeat, (LINK_SILENCE_MS - 1) as Ms)).toEqual([]);
    expect(session.handle({ kind: "ticked" }, (LINK_SILENCE_MS + 1) as Ms)).toEqual([]);
    const silent = session.handle({ kind: "ticked" }, (2 * LINK_SILENCE_MS) as Ms);
    expect(silent.map((action) => action.kind)).toEqual(["closeLink", "openLink"]);
  });

  it("fails with token_count_mismatch when the end frame announces fewer tokens than were delivered", () => {
    const session = createSession();
    session.handle({ kind: "placed", server: SERVER }, 0 as Ms);
    session.handle({ kind: "frame", link: 1, frame: makeToken("g1", 0) }, 0 as Ms);
    session.handle({ kind: "frame", link: 1, frame: makeToken("g1", 1) }, 0 as Ms);
    const actions = session.handle(
      { kind: "frame", link: 1, frame: makeEnd("g1", 1) },
      0 as Ms,
    );
    expect(actions.at(-1)).toMatchObject({
      failure: { kind: "token_count_mismatch", announced: 1, delivered: 2 },
    });
  });
});
