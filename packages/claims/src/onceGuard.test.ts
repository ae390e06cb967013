/**
 * Tests the once-guard with random calls from two boxes that share two keys. The store is down or
 * slow at times and loses answers of writes that took effect. A box may crash during a call.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createSeededRandom,
  createVirtualClock,
  type Ms,
  type WorkspaceName,
} from "@stairgauge/common";
import type { KeptAnswer } from "@stairgauge/outcomes";
import { createMemoryPlatform, createPlatformModel } from "@stairgauge/standins";
import { createOnceGuard, type ClaimedCall, type OnceGuard } from "./onceGuard.js";
import { createWriteBatcher } from "./writeBatcher.js";

const WORKSPACE = "w" as WorkspaceName;
const SETTLE_MS = 30_000 as Ms;

type Answer = Readonly<
  | { kind: "answered"; body: string }
  | { kind: "failed"; outcome: string }
  | { kind: "refused"; reason: string; outcome: string }
>;

const makeAnswer = (body: string): KeptAnswer => ({ status: 200, headers: {}, body });

const createBench = (boxes: number) => {
  const clock = createVirtualClock();
  const model = createPlatformModel();
  const { table } = createMemoryPlatform(model, clock);
  const guards = Array.from({ length: boxes }, (_, i) => {
    const batcher = createWriteBatcher({ table, clock, callsPerSecond: 20 });
    return createOnceGuard({ table, batcher, random: createSeededRandom(i + 1), clock });
  });
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { clock, model, guards, advance };
};

const STEP = fc.oneof(
  fc.record({
    kind: fc.constant("call" as const),
    box: fc.nat(1),
    key: fc.constantFrom("k1", "k2"),
    content: fc.constantFrom("c1", "c1", "c1", "c2"),
    ending: fc.constantFrom("answer", "answer", "lose", "connect_failed", "crash"),
    takesMs: fc.constantFrom(0, 300, 5_000),
  }),
  fc.record({
    kind: fc.constant("store" as const),
    isDown: fc.boolean(),
    delayMs: fc.nat(800),
  }),
  fc.record({
    kind: fc.constant("lose" as const),
    answers: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.integer({ min: 1, max: 3_000 }),
  }),
);

type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;
type Call = Extract<Step, { kind: "call" }>;

/** Runs the steps, then checks every guarantee; returns the first violation, or undefined. */
const checkSchedule = async (
  steps: readonly Step[],
  wrap: (guard: OnceGuard) => OnceGuard,
) => {
  const bench = createBench(2);
  const guards = bench.guards.map(wrap);
  const runs = new Map<string, number>();
  const answers: { readonly call: Call; readonly answer: Answer }[] = [];
  const sent = new Set<Call>();

  const startCall = (call: Call) => {
    const record = (answer: Answer) => answers.push({ call, answer });
    const finish = (claimed: ClaimedCall) => {
      const ran = call.ending === "answer" || call.ending === "lose";
      if (ran) runs.set(call.key, (runs.get(call.key) ?? 0) + 1);
      if (call.ending === "crash") return;
      if (call.ending === "answer") {
        const body = `${call.key} ${call.content}`;
        record({ kind: "answered", body });
        void claimed.recordAnswer(makeAnswer(body));
        return;
      }
      const outcome = call.ending === "lose" ? "unknown" : "not_run";
      record({ kind: "failed", outcome });
      void claimed.recordFailure(outcome);
    };
    guards[call.box]!.claim(
      { key: { workspace: WORKSPACE, key: call.key }, contentHash: call.content },
      {
        onSend: (claimed) => {
          sent.add(call);
          bench.clock.setTimer(call.takesMs as Ms, () => finish(claimed));
        },
        onReplay: (kept) => record({ kind: "answered", body: kept.body }),
        onRefused: (reason, outcome) => record({ kind: "refused", reason, outcome }),
      },
    );
  };

  for (const step of steps) {
    if (step.kind === "call") startCall(step);
    if (step.kind === "store") {
      bench.model.setMode({ isDown: step.isDown, delayMs: step.delayMs });
    }
    if (step.kind === "lose") bench.model.setMode({ answersToLose: step.answers });
    if (step.kind === "wait") await bench.advance(step.ms);
  }
  bench.model.setMode({ isDown: false, delayMs: 0, answersToLose: 0 });
  await bench.advance(SETTLE_MS);

  const calls = steps.filter((step) => step.kind === "call");
  const crashed = calls.filter((call) => call.ending === "crash").length;
  for (const [key, count] of runs) {
    if (count > 1) return `${key} ran ${count} times`;
  }
  if (answers.length + crashed < calls.length) return "a call has no answer";
  for (const { call, answer } of answers) {
    if (answer.kind === "answered" && answer.body !== `${call.key} ${call.content}`) {
      return "a call got another call's answer";
    }
    if (answer.kind === "refused" && answer.outcome === "not_run" && sent.has(call)) {
      return "a call that was sent was refused as not run";
    }
  }
  return undefined;
};

const runSchedules = (
  numRuns: number,
  wrap: (guard: OnceGuard) => OnceGuard = (guard) => guard,
) =>
  fc.check(
    fc.asyncProperty(fc.array(STEP, { maxLength: 25 }), async (steps) => {
      const violation = await checkSchedule(steps, wrap);
      if (violation !== undefined) throw new Error(violation);
    }),
    { seed: 42, numRuns },
  );

describe("createOnceGuard", () => {
  it("runs each key at most once and answers every call in 1,000 random schedules", async () => {
    const result = await runSchedules(1_000);
    expect(result.failed ? fc.defaultReportMessage(result) : undefined).toBeUndefined();
  });

  it("detects a guard that sends a call before its claim is confirmed", async () => {
    const sendFirst = (guard: OnceGuard): OnceGuard => ({
      claim: (call, handlers) => {
        const resolveAtOnce = () => Promise.resolve();
        handlers.onSend({ recordAnswer: resolveAtOnce, recordFailure: resolveAtOnce });
        guard.claim(call, { ...handlers, onSend: () => undefined });
      },
    });
    expect((await runSchedules(1_000, sendFirst)).failed).toBe(true);
  });

  it("detects a guard that does not compare the content of a repeat", async () => {
    const wrapIgnoringContent = (guard: OnceGuard): OnceGuard => ({
      claim: (call, handlers) => guard.claim({ ...call, contentHash: "same" }, handlers),
    });
    expect((await runSchedules(1_000, wrapIgnoringContent)).failed).toBe(true);
  });

  const claimOnce = async (bench: ReturnType<typeof createBench>, content = "c") => {
    const seen: string[] = [];
    bench.guards[0]!.claim(
      { key: { workspace: WORKSPACE, key: "k" }, contentHash: content },
      {
        onSend: (claimed) => {
          seen.push("sent");
          void claimed.recordAnswer(makeAnswer("answer"));
        },
        onReplay: ({ body }) => seen.push(`replayed ${body}`),
        onRefused: (reason, outcome) => seen.push(`${reason} ${outcome}`),
      },
    );
    await bench.advance(5_000);
    return seen;
  };

  it("sends the call after the answer to its claim's write is lost, and replays its answer to a repeat", async () => {
    const bench = createBench(1);
    bench.model.setMode({ answersToLose: 1 });
    expect(await claimOnce(bench)).toEqual(["sent"]);
    expect(await claimOnce(bench)).toEqual(["replayed answer"]);
    expect(await claimOnce(bench, "other")).toEqual(["key_reused not_run"]);
  });

  it("refuses a call as not run while the store is down, and sends its repeat later", async () => {
    const bench = createBench(1);
    bench.model.setMode({ isDown: true });
    expect(await claimOnce(bench)).toEqual(["store_unavailable not_run"]);
    bench.model.setMode({ isDown: false });
    expect(await claimOnce(bench)).toEqual(["sent"]);
  });

  it("reports an unknown outcome and does not send again when the claiming box has crashed", async () => {
    const bench = createBench(1);
    const key = { workspace: WORKSPACE, key: "k" };
    const drop = () => undefined;
    bench.guards[0]!.claim(
      { key, contentHash: "c" },
      { onSend: drop, onReplay: drop, onRefused: drop },
    );
    await bench.advance(1_000);
    expect(await claimOnce(bench)).toEqual(["in_progress unknown"]);
    await bench.advance(200_000);
    expect(await claimOnce(bench)).toEqual(["outcome_unknown unknown"]);
  });
});
