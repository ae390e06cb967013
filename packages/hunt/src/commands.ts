/** The commands of random schedules: calls, faults and configuration changes. */
import fc from "fast-check";

/** Number of boxes in the simulation. */
export const BOX_COUNT = 3;

/** Number of engines in the simulation. */
export const ENGINE_COUNT = 2;

const box = fc.nat(BOX_COUNT - 1);
const engine = fc.nat(ENGINE_COUNT - 1);

/** Generates one command; a higher weight makes a kind more frequent. */
export const COMMAND = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("stream" as const),
      box,
      length: fc.integer({ min: 1, max: 40 }),
      isWhole: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("leave" as const), which: fc.nat() }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("resume" as const), which: fc.nat(), box }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("once" as const),
      box,
      key: fc.constantFrom("k1", "k2", "k3"),
      content: fc.constantFrom("c1", "c1", "c2"),
      how: fc.constantFrom("answer" as const, "lose" as const, "refuse" as const),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("killBox" as const), box }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("pauseBox" as const), box }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("openBox" as const), box }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("killEngine" as const), engine }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("reviveEngine" as const), engine }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("cutLinks" as const), engine }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("stallEngine" as const),
      engine,
      isStalled: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("markLeaving" as const),
      engine,
      isLeaving: fc.constantFrom(true, true, false),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("repeatFrames" as const),
      everyNth: fc.nat(4),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      isDown: fc.boolean(),
      delayMs: fc.nat(900),
      answersToLose: fc.nat(2),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("rollOut" as const),
      operator: fc.nat(1),
      variant: fc.nat(3),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.oneof(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 4_000 })),
    }),
  },
);

/** One command of a schedule. */
export type Command = typeof COMMAND extends fc.Arbitrary<infer T> ? T : never;

/** Generates a schedule: commands that run one after the other. */
export const SCHEDULE = fc.array(COMMAND, { maxLength: 40 });
