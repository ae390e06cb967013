/**
 * Guards against a request that is never blocked because no box sees three of its crashes itself. Boxes share their crashes over
 * the links that they have. Once updates have had time to reach all boxes, they may send the request to at most three more servers.
 */
import { describe, expect, it } from "vitest";
import fc from "fast-check";
import {
  createSeededRandom,
  createVirtualClock,
  type Clock,
  type Ms,
} from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  createRequestGuard,
  type BlockedRequest,
  type CrashUpdate,
  type RequestDigest,
  type RequestGuard,
} from "./index.js";

const DIGEST = "0123456789abcdef0123456789abcdef" as RequestDigest;
const getDigest = () => DIGEST;
const LIMITS = { blockingEnds: 3, memory: 3_600_000 as Ms };

const createGuard = (
  clock: Clock,
  more: Partial<Parameters<typeof createRequestGuard>[0]> = {},
) => {
  const blocked: BlockedRequest[] = [];
  const released: RequestDigest[] = [];
  const guard = createRequestGuard({
    clock,
    limits: LIMITS,
    onOwnUpdate: () => undefined,
    onSharedUpdate: () => undefined,
    onBlocked: (one) => blocked.push(one),
    onReleased: (digest) => released.push(digest),
    ...more,
  });
  return { guard, blocked, released };
};

const recordCrashes = (guard: RequestGuard, servers: readonly string[]) =>
  servers.forEach((server) =>
    guard.recordCrash({ digest: DIGEST, server: server as ServerId }),
  );

describe("createRequestGuard", () => {
  it("computes no digest while nothing is suspected", () => {
    const { guard } = createGuard(createVirtualClock());
    const fail = () => {
      throw new Error("the digest was computed");
    };
    expect(guard.getStatus(fail)).toEqual({ kind: "unsuspected" });
    guard.recordServed(fail);
  });

  it("reports a blocked request once, with its crashes", () => {
    const clock = createVirtualClock();
    const { guard, blocked } = createGuard(clock);
    recordCrashes(guard, ["a", "b"]);
    clock.advance(50 as Ms);
    recordCrashes(guard, ["c", "d"]);
    expect(blocked).toEqual([
      {
        digest: DIGEST,
        isOwn: true,
        left: LIMITS.memory - 50,
        ends: [
          { digest: DIGEST, server: "a", age: 50 },
          { digest: DIGEST, server: "b", age: 50 },
          { digest: DIGEST, server: "c", age: 0 },
        ],
      },
    ]);
  });

  it("releases a request that a server has completed, and shares that", () => {
    const updates: CrashUpdate[] = [];
    const { guard, released } = createGuard(createVirtualClock(), {
      onOwnUpdate: (update) => updates.push(update),
    });
    recordCrashes(guard, ["a", "b", "c"]);
    guard.recordServed(getDigest);
    expect(guard.getStatus(getDigest)).toEqual({ kind: "unsuspected" });
    expect(released).toEqual([DIGEST]);
    expect(updates.at(-1)).toEqual({ ends: [], served: [DIGEST] });
  });

  it("counts crashes shared by other boxes from the times they happened", () => {
    const clock = createVirtualClock();
    clock.advance(10_000 as Ms);
    const { guard } = createGuard(clock);
    const ends = ["a", "b", "c"].map((server, i) => ({
      digest: DIGEST,
      server: server as ServerId,
      age: (i * 1_000) as Ms,
    }));
    guard.applyUpdate({ ends, served: [] });
    const left = LIMITS.memory - 2_000;
    expect(guard.getStatus(getDigest)).toEqual({ kind: "blocked", ends: 3, left });
  });
});

const PROPAGATION_MS = 3_000;
const ATTEMPT_INTERVAL_MS = 50;
const MAX_LATE_ATTEMPTS = 3;

type Scenario = Readonly<{
  seed: number;
  boxes: number;
  /** Number of boxes that all others are linked to; 0 if all boxes are linked to each other. */
  hubs: number;
  /** Whether a hub fails after two crashes. Another box replaces it 1.2 s later. */
  isHubLost: boolean;
}>;

/**
 * Sends attempts of one request to random boxes. Each attempt that is let through crashes a server 30 ms later. Counts the crashes,
 * and the attempts let through when the third crash should be on record at all boxes.
 */
const runAttempts = ({ seed, boxes, hubs, isHubLost }: Scenario) => {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const computeDelay = () => random.nextInt(1, 40) as Ms;
  let lostHub = -1;
  let hubNames = new Set(Array.from({ length: hubs }, (_, i) => i));

  const guards: readonly RequestGuard[] = Array.from({ length: boxes }, (_, own) => {
    const sendTo = (box: number, update: CrashUpdate) => {
      if (box === own || box === lostHub || own === lostHub) return;
      clock.setTimer(computeDelay(), () => guards[box]!.applyUpdate(update));
    };
    const listLinked = () =>
      hubs === 0 ? guards.map((_guard, box) => box) : [...hubNames];
    return createGuard(clock, {
      onOwnUpdate: (update) => listLinked().forEach((box) => sendTo(box, update)),
      onSharedUpdate: (update) => {
        if (hubNames.has(own)) guards.forEach((_guard, box) => sendTo(box, update));
      },
    }).guard;
  });
  const replaceHub = () => {
    lostHub = 0;
    clock.setTimer(1_200 as Ms, () => {
      hubNames = new Set([...hubNames].filter((box) => box !== lostHub).concat(hubs));
      // A new link begins with all crashes that its box has on record.
      guards.forEach((guard) => guards[hubs]!.applyUpdate(guard.makeFullUpdate()));
    });
  };

  let crashes = 0;
  let thirdAt: number | undefined;
  let lateAttempts = 0;
  const attempt = (box: number) => {
    const guard = guards[box]!;
    if (box === lostHub || guard.getStatus(getDigest).kind === "blocked") return;
    if (thirdAt !== undefined && clock.now() - thirdAt > PROPAGATION_MS)
      lateAttempts += 1;
    clock.setTimer(30 as Ms, () => {
      crashes += 1;
      if (crashes === 3) thirdAt = clock.now();
      if (crashes === 2 && isHubLost) replaceHub();
      const server = `s${crashes}` as ServerId;
      guard.recordCrash({ digest: DIGEST, server });
    });
  };
  for (let at = 0; at < 12_000; at += ATTEMPT_INTERVAL_MS)
    clock.setTimer(at as Ms, () => attempt(random.nextInt(0, boxes - 1)));
  clock.advance(12_000 as Ms);
  return {
    lateAttempts,
    crashes,
    statuses: guards.map((guard) => guard.getStatus(getDigest).kind),
  };
};

describe("boxes that share the crashes of one request", () => {
  it.each<[number, number]>([
    [6, 0],
    [12, 0],
    [64, 4],
    [195, 5],
    [473, 12],
  ])("block it in time: %i boxes, %i hubs (property)", (boxes, hubs) => {
    const scenarios = fc.record({
      seed: fc.integer(),
      boxes: fc.constant(boxes),
      hubs: fc.constant(hubs),
      isHubLost: fc
        .constant(hubs > 0)
        .chain((may) => (may ? fc.boolean() : fc.constant(false))),
    });
    fc.assert(
      fc.property(scenarios, (scenario) => {
        const { lateAttempts } = runAttempts(scenario);
        expect(lateAttempts).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
      }),
      { numRuns: boxes > 100 ? 5 : 20, seed: 7 },
    );
  });

  it("lose at most five servers when an attempt comes every 50 ms and links take up to 40 ms", () => {
    const scenario = { seed: 1, boxes: 64, hubs: 4, isHubLost: false };
    // Three, and one or two that were sent before all boxes had the third crash on record.
    expect(runAttempts(scenario).crashes).toBeLessThanOrEqual(5);
  });
});
