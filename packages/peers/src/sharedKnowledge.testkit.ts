/** A simulation of boxes that read a store through each other: a store, boxes with clocks of their own, and links. */
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

/** Makes a member like all others except for its name. */
export const toEqualMember = (box: BoxName): Member => ({ box, capacity: 1 });

export const TABLE = "operator";
export const BOUND_MS = 2_000;
const WAIT_MS = 400 as Ms;
const MAX_SILENCE_MS = 1_000 as Ms;
const PATIENCE_MS = 400 as Ms;
export const GUARD_MS = 1_500 as Ms;
const KEY = "config";

/** Time that a box behind a narrow link takes to send a change to all boxes that ask it. */
const NARROW_LINK_MS = 980;

/** A fault of one box, and its beginning and end in simulated time. */
export type Fault = Readonly<{
  /** A `gone` box stays silent; a `closed` one ends its connections, as a process that stops or is killed does. */
  kind: "frozen" | "cut_from_store" | "slow_links" | "narrow_link" | "gone" | "closed";
  box: number;
  from: number;
  until: number;
}>;

/** The store is down for a while and then restored from a backup; times in simulated ms. */
export type StoreRestore = Readonly<{
  from: number;
  until: number;
  /** Age of the backup when the store goes down. */
  backupAge: number;
  /** Versions used by other writes between the restore and the operator's write. */
  otherVersions: number;
  /** Time from the restore to the operator's write. */
  rewriteAfter: number;
}>;

export type SimulationOptions = Readonly<{
  seed: number;
  boxes: number;
  /** Times at which the operator changes the row. */
  changes: readonly number[];
  faults: readonly Fault[];
  /** Restores of the store, after which the operator writes lost changes again. */
  restores?: readonly StoreRestore[];
  /** When set, boxes are linked to the hubs only, and the links come up at this time. */
  hubLinksUpAt?: number;
}>;

/** The state that one box had read at one moment, and its freshness. */
export type Observation = Readonly<{
  box: number;
  at: number;
  /** The state was true at this simulated time or later. */
  asOf: number;
  /** Number of changes that the box has read. */
  known: number;
}>;

const toValue = (count: number): Buffer => Buffer.from(String(count));
const fromRow = (row: StoredRow | undefined): number =>
  Number(row?.value.toString() ?? 0);

export const createSimulation = (options: SimulationOptions) => {
  const { seed, boxes, changes, faults, restores = [], hubLinksUpAt } = options;
  const globalClock = createVirtualClock();
  const random: Random = createSeededRandom(seed);
  const observations: Observation[] = [];
  const storeCalls: number[] = Array.from({ length: boxes }, () => 0);
  const knownBy: number[] = Array.from({ length: boxes }, () => 0);

  const hasFault = (box: number, kind: Fault["kind"]) =>
    faults.some(
      (fault) =>
        fault.box === box &&
        fault.kind === kind &&
        globalClock.now() >= fault.from &&
        globalClock.now() < fault.until,
    );

  let written = 0;
  let count = 0;
  let revision = makeRevision(1, 0);
  let rowRevision = revision;
  let isStoreDown = false;
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
    globalClock.setTimer(at as Ms, () => {
      written += 1;
      // While the store is down, the operator retries, and writes after the restore.
      if (!isStoreDown) writeRow();
    });
  const recoverStore = (restore: StoreRestore) => {
    isStoreDown = false;
    const restoredCount = changes.filter(
      (at) => at <= restore.from - restore.backupAge,
    ).length;
    count = Math.min(count, restoredCount);
    rowRevision = makeRevision(revision.era + 1, count);
    revision = makeRevision(revision.era + 1, count + restore.otherVersions);
    const mayWrite = () => !isStoreDown && count < written;
    globalClock.setTimer(restore.rewriteAfter as Ms, () => mayWrite() && writeRow());
  };
  for (const restore of restores) {
    globalClock.setTimer(restore.from as Ms, () => {
      isStoreDown = true;
      waiting.clear();
      for (const failCall of [...openCalls]) failCall();
    });
    globalClock.setTimer(restore.until as Ms, () => recoverStore(restore));
  }

  const isEnded = (box: number) => hasFault(box, "gone") || hasFault(box, "closed");
  const isStopped = (box: number) => hasFault(box, "frozen") || isEnded(box);

  /** Runs the work at a box; a frozen box runs it when it resumes. */
  const runAt = (box: number, work: () => void): void => {
    if (isEnded(box)) return;
    if (isStopped(box)) globalClock.setTimer(10 as Ms, () => runAt(box, work));
    else work();
  };
  const makeClock = (box: number, offset: number): Clock => ({
    now: () => (globalClock.now() + offset) as Ms,
    monotonic: () => (globalClock.now() + offset) as Ms,
    boottime: () => (globalClock.now() + offset) as Ms,
    setTimer: (delay, fire) => globalClock.setTimer(delay, () => runAt(box, fire)),
    setTimeLimit: (limit, fire) =>
      globalClock.setTimeLimit(limit, () => runAt(box, fire)),
  });

  const computeDelay = (...ends: readonly number[]): Ms => {
    const isSlow = ends.some((box) => hasFault(box, "slow_links"));
    return random.nextInt(1, isSlow ? 1_500 : 5) as Ms;
  };
  const sendTo = (box: number, delay: Ms, work: () => void) => {
    globalClock.setTimer(delay, () => runAt(box, work));
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
        if (hasFault(box, "cut_from_store")) return;
        const failCall = () => {
          openCalls.delete(failCall);
          resolve(undefined);
        };
        openCalls.add(failCall);
        if (isStoreDown) {
          sendTo(box, computeDelay(), failCall);
          return;
        }
        globalClock.setTimer(computeDelay(), () =>
          answer((value) => {
            openCalls.delete(failCall);
            if (hasFault(box, "cut_from_store")) return;
            sendTo(box, computeDelay(), () => resolve(value));
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
            // A request names a version only; the store does not see its era.
            const isKnown = since.version <= revision.version;
            const isNew = () => rowRevision.version > since.version;
            const answer = () => {
              waiting.delete(answer);
              timer.cancel();
              send([isNew() ? [{ kind: "put", row: makeRow() }] : [], revision]);
            };
            const timer = globalClock.setTimer(wait, answer);
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
    const recordObservation = (read: number, asOf: Ms) => {
      // The operator numbers its changes, and this number never falls.
      const known = Math.max(knownBy[box]!, read);
      knownBy[box] = known;
      observations.push({ box, at: globalClock.now(), asOf: asOf - offset, known });
    };
    const sink: FollowerSink = {
      onWhole: (rows, asOf) => recordObservation(fromRow(rows[0]), asOf),
      onChanges: (changesRead, asOf) => {
        const last = changesRead.at(-1);
        recordObservation(last?.kind === "put" ? fromRow(last.row) : knownBy[box]!, asOf);
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
  const listUpFrom = (own: BoxName) =>
    globalClock.now() < (hubLinksUpAt ?? 0) ? [] : listLinked(own).map(toEqualMember);

  const ask = (from: number, to: number) =>
    new Promise<void>((resolve) => sendTo(to, computeDelay(from, to), resolve));

  const followers = mirrors.map(({ box, clock, sink }) => {
    const reader = createSharedReader({
      clock,
      own: { box: toName(box), capacity: 1 },
      store: makeStore(box),
      links: {
        countBoxes: () => names.length,
        reopen: () => undefined,
        listReachable: () => listLinked(toName(box)).map(toEqualMember),
        listConnected: () => listUpFrom(toName(box)),
        ask: (name, question, signal) =>
          new Promise((resolve) => {
            const to = names.indexOf(name);
            const fail = (detail: string) => {
              const failure: AskFailure = { kind: "failed", detail };
              resolve(Err(failure));
            };
            signal.addEventListener("abort", () => fail("aborted call"));
            for (const { kind, box: closed, from } of faults)
              if (kind === "closed" && closed === to)
                globalClock.setTimer(Math.max(1, from - globalClock.now()) as Ms, () =>
                  runAt(box, () => fail("closed")),
                );
            const answerAt = async () => {
              await ask(box, to);
              const answer: TableAnswer = await answerTable(
                {
                  mirrors: new Map([[TABLE, mirrors[to]!.mirror]]),
                  pulse: mirrors[to]!.mirror,
                  maxSilence: MAX_SILENCE_MS,
                  catchUpWait: (PATIENCE_MS / 2) as Ms,
                },
                question,
              );
              const hasChanges = answer.kind === "changes" && answer.changes.length > 0;
              const isDelayed = hasChanges && hasFault(to, "narrow_link");
              const delay = computeDelay(box, to) + (isDelayed ? NARROW_LINK_MS : 0);
              sendTo(box, delay as Ms, () => resolve(Ok(answer)));
            };
            void answerAt();
          }),
      },
      minStoreReaders: 2,
      maxSilence: MAX_SILENCE_MS,
      relayedWaits: 1.5,
      guard: { table: TABLE, age: GUARD_MS },
      patience: PATIENCE_MS,
      storePatience: 1_000 as Ms,
      onEjected: () => undefined,
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
      onStepFailed: ({ error }) => {
        throw error;
      },
      sink,
    });
  });

  /** Runs the simulation until the given time. */
  const runUntil = async (end: number): Promise<void> => {
    for (
      let next = globalClock.getNextAt();
      next !== undefined && next <= end;
      next = globalClock.getNextAt()
    ) {
      globalClock.step();
      await new Promise((resolve) => setImmediate(resolve));
    }
    globalClock.advance((end - globalClock.now()) as Ms);
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
    observations,
    storeCalls,
    knownBy,
    countChangesAt: (time: number) => changes.filter((at) => at <= time).length,
    hasFault,
  };
};
