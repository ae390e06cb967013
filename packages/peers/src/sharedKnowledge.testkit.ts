/** A small world for tests of shared knowledge: a store, boxes with clocks of their own, and links, on one virtual time. */
import {
  createSeededRandom,
  createVirtualClock,
  Err,
  Ok,
  type BoxName,
  type Clock,
  type Ms,
  type Random,
} from "@stairgauge/common";
import {
  createRevisionWatermark,
  createTableFollower,
  createTableMirror,
  makeRevision,
  type FollowerSink,
  type RowChange,
  type StoredRow,
  type StoreReader,
  type StoreRevision,
} from "@stairgauge/storefeed";
import { chooseLinks } from "./hubs.js";
import { answerTable, createSharedReader } from "./index.js";
import { rankByCapacity } from "./rankStoreReaders.js";
import type { AskFailure, Member, TableAnswer } from "./types.js";

/** Boxes that differ in nothing but their names. */
export const toEqualMember = (box: BoxName): Member => ({ box, capacity: 1 });

export const TABLE = "operator";
export const BOUND_MS = 2_000;
const WAIT_MS = 400 as Ms;
const MAX_SILENCE_MS = 1_000 as Ms;
const PATIENCE_MS = 400 as Ms;
export const GUARD_MS = 1_500 as Ms;
const KEY = "config";

/** What a change takes to all who ask a box behind a narrow link. */
const NARROW_LINK_MS = 980;

/** What can be wrong with one box, and from when to when on the world's time. */
export type Trouble = Readonly<{
  /** `gone` says nothing; `closed` ends its connections, as a process that stops or is killed does. */
  kind: "frozen" | "cut_from_store" | "slow_links" | "narrow_link" | "gone" | "closed";
  box: number;
  from: number;
  until: number;
}>;

/** Times in ms of the world. */
export type StoreDrill = Readonly<{
  from: number;
  until: number;
  /** How old the copy is when the store goes away. */
  copyAge: number;
  /** Versions given out to others between the return and the operator's writing. */
  otherVersions: number;
  /** From the return to the operator's writing. */
  rewriteAfter: number;
}>;

export type WorldOptions = Readonly<{
  seed: number;
  boxes: number;
  /** Times at which the operator changes the row. */
  changes: readonly number[];
  troubles: readonly Trouble[];
  /** The store is away, and comes back from a copy; its operator writes again what was lost. */
  drills?: readonly StoreDrill[];
  /** Boxes are linked to the hubs only, by links that come up after this time. */
  hubLinksUpAt?: number;
}>;

/** One moment at which a box said how fresh what it knows is. */
export type Claim = Readonly<{
  box: number;
  at: number;
  /** On the world's time. */
  asOf: number;
  /** How many changes it knows. */
  known: number;
}>;

const toValue = (count: number): Buffer => Buffer.from(String(count));
const fromRow = (row: StoredRow | undefined): number =>
  Number(row?.value.toString() ?? 0);

export const createWorld = (options: WorldOptions) => {
  const { seed, boxes, changes, troubles, drills = [], hubLinksUpAt } = options;
  const world = createVirtualClock();
  const random: Random = createSeededRandom(seed);
  const claims: Claim[] = [];
  const storeCalls: number[] = Array.from({ length: boxes }, () => 0);
  const knownBy: number[] = Array.from({ length: boxes }, () => 0);

  const hasTrouble = (box: number, kind: Trouble["kind"]) =>
    troubles.some(
      (one) =>
        one.box === box &&
        one.kind === kind &&
        world.now() >= one.from &&
        world.now() < one.until,
    );

  let written = 0;
  let count = 0;
  let revision = makeRevision(1, 0);
  let rowRevision = revision;
  let isAway = false;
  const waiting = new Set<() => void>();
  const openCalls = new Set<() => void>();
  const makeRow = (): StoredRow => ({
    key: KEY,
    value: toValue(count),
    revision: rowRevision,
  });
  const writeRow = () => {
    count = written;
    revision = makeRevision(revision.era, revision.version + 1);
    rowRevision = revision;
    for (const end of [...waiting]) end();
  };
  for (const at of changes)
    world.setTimer(at as Ms, () => {
      written += 1;
      // While the store is away its operator tries on, and writes when it is back.
      if (!isAway) writeRow();
    });
  const recoverStore = (drill: StoreDrill) => {
    isAway = false;
    const copied = changes.filter((at) => at <= drill.from - drill.copyAge).length;
    count = Math.min(count, copied);
    rowRevision = makeRevision(revision.era + 1, count);
    revision = makeRevision(revision.era + 1, count + drill.otherVersions);
    const mayWrite = () => !isAway && count < written;
    world.setTimer(drill.rewriteAfter as Ms, () => mayWrite() && writeRow());
  };
  for (const drill of drills) {
    world.setTimer(drill.from as Ms, () => {
      isAway = true;
      waiting.clear();
      for (const breakCall of [...openCalls]) breakCall();
    });
    world.setTimer(drill.until as Ms, () => recoverStore(drill));
  }

  const isEnded = (box: number) => hasTrouble(box, "gone") || hasTrouble(box, "closed");
  const isDown = (box: number) => hasTrouble(box, "frozen") || isEnded(box);

  /** What a frozen process would have done, it does when it wakes. */
  const runAt = (box: number, work: () => void): void => {
    if (isEnded(box)) return;
    if (isDown(box)) world.setTimer(10 as Ms, () => runAt(box, work));
    else work();
  };
  const makeClock = (box: number, offset: number): Clock => ({
    now: () => (world.now() + offset) as Ms,
    monotonic: () => (world.now() + offset) as Ms,
    boottime: () => (world.now() + offset) as Ms,
    setTimer: (delay, fire) => world.setTimer(delay, () => runAt(box, fire)),
  });

  const computeDelay = (...ends: readonly number[]): Ms => {
    const isSlow = ends.some((box) => hasTrouble(box, "slow_links"));
    return random.nextInt(1, isSlow ? 1_500 : 5) as Ms;
  };
  const passTo = (box: number, delay: Ms, work: () => void) => {
    world.setTimer(delay, () => runAt(box, work));
  };

  const makeStore = (box: number): StoreReader => {
    const call = <T>(signal: AbortSignal, answer: (send: (value: T) => void) => void) =>
      new Promise<T | undefined>((resolve) => {
        storeCalls[box]! += 1;
        signal.addEventListener("abort", () => resolve(undefined));
        if (signal.aborted) {
          resolve(undefined);
          return;
        }
        if (hasTrouble(box, "cut_from_store")) return;
        const breakCall = () => {
          openCalls.delete(breakCall);
          resolve(undefined);
        };
        openCalls.add(breakCall);
        if (isAway) {
          passTo(box, computeDelay(), breakCall);
          return;
        }
        world.setTimer(computeDelay(), () =>
          answer((value) => {
            openCalls.delete(breakCall);
            if (hasTrouble(box, "cut_from_store")) return;
            passTo(box, computeDelay(), () => resolve(value));
          }),
        );
      });
    return {
      readTable: async ({ signal }) => {
        const read = await call<readonly [StoredRow[], StoreRevision]>(signal, (send) =>
          send([count > 0 ? [makeRow()] : [], revision]),
        );
        if (!read) return Err({ kind: "timed_out" });
        return Ok({ rows: read[0], revision: read[1], source: { kind: "store" } });
      },
      awaitChanges: async ({ since, wait, signal }) => {
        const read = await call<readonly [RowChange[], StoreRevision] | "gone">(
          signal,
          (send) => {
            // The store is asked for a version only: it doesn't know of which era.
            const isKnown = since.version <= revision.version;
            const isNew = () => rowRevision.version > since.version;
            const answer = () => {
              waiting.delete(answer);
              timer.cancel();
              send([isNew() ? [{ kind: "put", row: makeRow() }] : [], revision]);
            };
            const timer = world.setTimer(wait, answer);
            if (!isKnown) {
              timer.cancel();
              send("gone");
            } else if (isNew()) answer();
            else waiting.add(answer);
          },
        );
        if (read === "gone") return Err({ kind: "history_gone" });
        if (!read) return Err({ kind: "timed_out" });
        return Ok({ changes: read[0], revision: read[1], source: { kind: "store" } });
      },
    };
  };

  const toName = (box: number) => `box-${box}` as BoxName;
  const names = Array.from({ length: boxes }, (_, box) => toName(box));
  const mirrors = Array.from({ length: boxes }, (_, box) => box).map((box) => {
    const offset = 1_000_000 * box;
    const clock = makeClock(box, offset);
    const mirror = createTableMirror(clock);
    const claim = (read: number, asOf: Ms) => {
      // What the operator's word is about carries a number of its own, which never goes back.
      const known = Math.max(knownBy[box]!, read);
      knownBy[box] = known;
      claims.push({ box, at: world.now(), asOf: asOf - offset, known });
    };
    const sink: FollowerSink = {
      onWhole: (rows, asOf) => claim(fromRow(rows[0]), asOf),
      onChanges: (news, asOf) => {
        const last = news.at(-1);
        claim(last?.kind === "put" ? fromRow(last.row) : knownBy[box]!, asOf);
      },
      onFailure: () => undefined,
      onRegained: () => undefined,
    };
    return { box, clock, mirror, sink: mirror.observe(sink) };
  });

  const ranked = rankByCapacity(names.map(toEqualMember));
  const isGone = (name: BoxName) => isEnded(names.indexOf(name));
  const listLinked = (own: BoxName): readonly BoxName[] =>
    hubLinksUpAt === undefined
      ? names.filter((name) => name !== own)
      : chooseLinks({ own, ranked, isFailing: isGone, isAvoided: isGone });
  const listUp = (own: BoxName) =>
    world.now() < (hubLinksUpAt ?? 0) ? [] : listLinked(own).map(toEqualMember);

  const ask = (from: number, to: number) =>
    new Promise<void>((resolve) => passTo(to, computeDelay(from, to), resolve));

  const followers = mirrors.map(({ box, clock, sink }) => {
    const reader = createSharedReader({
      clock,
      own: { box: toName(box), capacity: 1 },
      store: makeStore(box),
      links: {
        countBoxes: () => names.length,
        renew: () => undefined,
        listReachable: () => listLinked(toName(box)).map(toEqualMember),
        listUp: () => listUp(toName(box)),
        ask: (name, question, signal) =>
          new Promise((resolve) => {
            const to = names.indexOf(name);
            const fail = (detail: string) => {
              const failure: AskFailure = { kind: "failed", detail };
              resolve(Err(failure));
            };
            signal.addEventListener("abort", () => fail("given up"));
            for (const { kind, box: closed, from } of troubles)
              if (kind === "closed" && closed === to)
                world.setTimer(Math.max(1, from - world.now()) as Ms, () =>
                  runAt(box, () => fail("closed")),
                );
            const answerAt = async () => {
              await ask(box, to);
              const answer: TableAnswer = await answerTable(
                {
                  mirrors: new Map([[TABLE, mirrors[to]!.mirror]]),
                  pulse: mirrors[to]!.mirror,
                  mostSilence: MAX_SILENCE_MS,
                  catchUpWait: (PATIENCE_MS / 2) as Ms,
                },
                question,
              );
              const hasNews = answer.kind === "changes" && answer.changes.length > 0;
              const isHeldUp = hasNews && hasTrouble(to, "narrow_link");
              const delay = computeDelay(box, to) + (isHeldUp ? NARROW_LINK_MS : 0);
              passTo(box, delay as Ms, () => resolve(Ok(answer)));
            };
            void answerAt();
          }),
      },
      hearers: 2,
      mostSilence: MAX_SILENCE_MS,
      relayedWaits: 1.5,
      guard: { table: TABLE, age: GUARD_MS },
      patience: PATIENCE_MS,
      storePatience: 1_000 as Ms,
      onDistrust: () => undefined,
    });
    return createTableFollower({
      table: TABLE,
      reader,
      clock,
      random,
      wait: WAIT_MS,
      gather: 0 as Ms,
      patience: 1_600 as Ms,
      retryPause: { first: 100 as Ms, most: 500 as Ms },
      revisions: createRevisionWatermark(),
      onStaleRead: () => undefined,
      sink,
    });
  });

  /** Lets the world go on until the time given. */
  const runUntil = async (end: number): Promise<void> => {
    for (
      let next = world.getNextAt();
      next !== undefined && next <= end;
      next = world.getNextAt()
    ) {
      world.step();
      await new Promise((resolve) => setImmediate(resolve));
    }
    world.advance((end - world.now()) as Ms);
  };

  return {
    start: () => {
      for (const follower of followers) follower.start();
    },
    startOne: (box: number) => followers[box]!.start(),
    stop: () => {
      for (const follower of followers) follower.stop();
    },
    runUntil,
    claims,
    storeCalls,
    knownBy,
    countChangesAt: (time: number) => changes.filter((at) => at <= time).length,
    hasTrouble,
  };
};
