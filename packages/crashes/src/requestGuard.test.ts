/**
 * The ends of one request were seen by several boxes, of which none saw three: each has to tell the others, over whatever links
 * there are, so that all of them together send the request to at most three servers more once the time in which boxes come to
 * know of each other has passed.
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

const createOne = (
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

const recordEnds = (guard: RequestGuard, servers: readonly string[]) =>
  servers.forEach((server) =>
    guard.recordCrash({ digest: DIGEST, server: server as ServerId }),
  );

describe("createRequestGuard", () => {
  it("asks for no digest while nothing is suspected", () => {
    const { guard } = createOne(createVirtualClock());
    const fail = () => {
      throw new Error("asked");
    };
    expect(guard.getStatus(fail)).toEqual({ kind: "unsuspected" });
    guard.recordServed(fail);
  });

  it("says once that a request is blocked, with what it rests on", () => {
    const clock = createVirtualClock();
    const { guard, blocked } = createOne(clock);
    recordEnds(guard, ["a", "b"]);
    clock.advance(50 as Ms);
    recordEnds(guard, ["c", "d"]);
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

  it("trusts a request that a server has served, and tells it", () => {
    const told: CrashUpdate[] = [];
    const { guard, released } = createOne(createVirtualClock(), {
      onOwnUpdate: (news) => told.push(news),
    });
    recordEnds(guard, ["a", "b", "c"]);
    guard.recordServed(getDigest);
    expect(guard.getStatus(getDigest)).toEqual({ kind: "unsuspected" });
    expect(released).toEqual([DIGEST]);
    expect(told.at(-1)).toEqual({ ends: [], served: [DIGEST] });
  });

  it("takes the ends that others tell at their own times", () => {
    const clock = createVirtualClock();
    clock.advance(10_000 as Ms);
    const { guard } = createOne(clock);
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

const CONTACT_MS = 3_000;
const TRY_PAUSE_MS = 50;
const ARRIVALS_ALLOWED = 3;

type World = Readonly<{
  seed: number;
  boxes: number;
  /** Boxes linked to by all others; none where all are linked to each other. */
  hubs: number;
  /** A hub that is lost when two servers have ended; the next box takes its place 1.2 s later. */
  isHubLost: boolean;
}>;

/** Tries of one request at boxes in turn, each of which ends the server that it reaches 30 ms later; counts what reaches servers. */
const runTries = ({ seed, boxes, hubs, isHubLost }: World) => {
  const world = createVirtualClock();
  const random = createSeededRandom(seed);
  const computeDelay = () => random.nextInt(1, 40) as Ms;
  let lostHub = -1;
  let hubNames = new Set(Array.from({ length: hubs }, (_, i) => i));

  const guards: readonly RequestGuard[] = Array.from({ length: boxes }, (_, own) => {
    const sendTo = (box: number, news: CrashUpdate) => {
      if (box === own || box === lostHub || own === lostHub) return;
      world.setTimer(computeDelay(), () => guards[box]!.applyUpdate(news));
    };
    const listLinked = () =>
      hubs === 0 ? guards.map((_guard, box) => box) : [...hubNames];
    return createOne(world, {
      onOwnUpdate: (news) => listLinked().forEach((box) => sendTo(box, news)),
      onSharedUpdate: (news) => {
        if (hubNames.has(own)) guards.forEach((_guard, box) => sendTo(box, news));
      },
    }).guard;
  });
  const replaceHub = () => {
    lostHub = 0;
    world.setTimer(1_200 as Ms, () => {
      hubNames = new Set([...hubNames].filter((box) => box !== lostHub).concat(hubs));
      // A link that has come up begins with all that its box knows.
      guards.forEach((guard) => guards[hubs]!.applyUpdate(guard.makeFullUpdate()));
    });
  };

  let ends = 0;
  let thirdAt: number | undefined;
  let lateArrivals = 0;
  const attempt = (box: number) => {
    const guard = guards[box]!;
    if (box === lostHub || guard.getStatus(getDigest).kind === "blocked") return;
    if (thirdAt !== undefined && world.now() - thirdAt > CONTACT_MS) lateArrivals += 1;
    world.setTimer(30 as Ms, () => {
      ends += 1;
      if (ends === 3) thirdAt = world.now();
      if (ends === 2 && isHubLost) replaceHub();
      const server = `s${ends}` as ServerId;
      guard.recordCrash({ digest: DIGEST, server });
    });
  };
  for (let at = 0; at < 12_000; at += TRY_PAUSE_MS)
    world.setTimer(at as Ms, () => attempt(random.nextInt(0, boxes - 1)));
  world.advance(12_000 as Ms);
  return {
    lateArrivals,
    ends,
    known: guards.map((guard) => guard.getStatus(getDigest).kind),
  };
};

describe("boxes that count the ends of one request together", () => {
  it.each<[number, number]>([
    [6, 0],
    [12, 0],
    [64, 4],
    [195, 5],
    [473, 12],
  ])("keep it from servers in time: %i boxes, %i hubs (property)", (boxes, hubs) => {
    const world = fc.record({
      seed: fc.integer(),
      boxes: fc.constant(boxes),
      hubs: fc.constant(hubs),
      isHubLost: fc
        .constant(hubs > 0)
        .chain((may) => (may ? fc.boolean() : fc.constant(false))),
    });
    fc.assert(
      fc.property(world, (one) => {
        const { lateArrivals } = runTries(one);
        expect(lateArrivals).toBeLessThanOrEqual(ARRIVALS_ALLOWED);
      }),
      { numRuns: boxes > 100 ? 5 : 20, seed: 7 },
    );
  });

  it("have few servers ended where a try comes each 50 ms and links take 40 ms", () => {
    const world = { seed: 1, boxes: 64, hubs: 4, isHubLost: false };
    // Three, and one or two that were sent before the third end was known everywhere.
    expect(runTries(world).ends).toBeLessThanOrEqual(5);
  });
});
