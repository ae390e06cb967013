/**
 * Reads tables from a few boxes that read the store, the store readers, so that the number of calls to the store does not grow
 * with the number of boxes. Reads from the store itself while this box is a store reader, can ask none, or gets answers that
 * are too old.
 */
import {
  Err,
  Ok,
  runWithin,
  waitFor,
  type BoxName,
  type Clock,
  type Ms,
  type Result,
} from "@stairgauge/common";
import {
  INITIAL_REVISION,
  compareRevisions,
  isEarlierRevision,
  NEW_ERA,
  type ChangesRequest,
  type StoreFailure,
  type StoreReader,
  type StoreRevision,
  type TableChanges,
  type TableSnapshot,
  type WholeRequest,
} from "@stairgauge/storefeed";
import type { PeerLinks } from "./peerLinks.js";
import { withLastResult } from "./lastResult.js";
import { rankByCapacity, rankForAsker, rankStoreReaders } from "./rankStoreReaders.js";
import type { Member, TableAnswer, TableQuestion } from "./types.js";

/** Why a box is ejected, which means that it is not asked for a while. */
export type EjectionReason = "no_answer" | "lost_the_store";

/** Options of a shared reader. */
export type SharedReaderOptions = Readonly<{
  clock: Clock;
  own: Member;
  store: StoreReader;
  links: Pick<
    PeerLinks,
    "ask" | "listConnected" | "listReachable" | "countBoxes" | "reopen"
  >;
  /** Minimum number of store readers. */
  minStoreReaders: number;
  /** A box that has received nothing from the store for longer than this has lost it, and is not asked. */
  maxSilence: Ms;
  /** How many times longer than the store a box is asked to wait for changes: the store confirms the table to it meanwhile. */
  relayedWaits: number;
  /** The table whose age is bounded by a guarantee, and the age at which the store is asked instead of waiting for a box. */
  guard: Readonly<{ table: string; age: Ms }>;
  /** How much longer than the wait in the question a box may take to answer. */
  patience: Ms;
  /** The same for the store; a read may take the time of a box and then that of the store. */
  storePatience: Ms;
  /** Called when a box is ejected. */
  onEjected: (box: BoxName, reason: EjectionReason) => void;
}>;

/** How long a box that did not answer or has lost the store is not asked; the same for the store after a failure. */
const EJECTION_MS = 3_000;

/** Head start of the store before other boxes are asked too, for the first read of a table. */
const STORE_FIRST_MS = 250 as Ms;

/**
 * Boxes ranked next to the store readers, which are asked when all store readers have lost the store. The first of them that
 * reaches the store reads it for the others; otherwise each box of the site would call it.
 */
export const MAX_FALLBACK_READERS = 3;

/** How long to wait for a link that is coming up; less than the time after which a link counts as failing. */
const LINK_WAIT_MS = 800;
const LINK_POLL_MS = 50 as Ms;

/** A caller whose box failed needs the current state from the store, without waiting for changes. */
const NO_WAIT_MS = 0 as Ms;

type Ejection = Readonly<{ reason: EjectionReason; until: number }>;

/** Why a box gave no usable answer. */
type AskProblem = "silent" | "unreachable" | "lost_the_store";

/** Creates the reader. */
export const createSharedReader = (options: SharedReaderOptions): StoreReader => {
  const { clock, own, store, links, patience, maxSilence } = options;
  const ejected = new Map<BoxName, Ejection>();
  const openCalls = new Map<BoxName, Set<AbortController>>();
  let storeFailedUntil = -Infinity;
  let guardedAsOf = -Infinity;

  const isUsable = (box: BoxName) =>
    (ejected.get(box)?.until ?? -Infinity) <= clock.monotonic();
  const isStoreUsable = () => storeFailedUntil <= clock.monotonic();
  /** When this box reaches the store again, the boxes that had lost it probably do so too. */
  const restoreEjected = () => {
    for (const [box, { reason }] of ejected)
      if (reason === "lost_the_store") ejected.delete(box);
  };

  // Ranked for each question, while the boxes rarely change.
  const rankMembers = withLastResult(rankByCapacity);
  const rankReaders = withLastResult(rankStoreReaders);
  const rankLinkedReaders = withLastResult((boxes: readonly BoxName[]) =>
    rankForAsker(boxes, own.box),
  );
  const listStoreReaders = () =>
    rankReaders(
      [own, ...links.listReachable()],
      options.minStoreReaders,
      links.countBoxes(),
    );

  /** Boxes to ask instead of the store readers. Each box asks only those ranked before it, so there are no cycles. */
  const listFallbackReaders = (storeReaders: readonly BoxName[]): readonly BoxName[] => {
    const ranked = rankMembers([own, ...links.listReachable()]);
    const before = ranked.slice(0, ranked.indexOf(own.box));
    return before
      .filter((box) => !storeReaders.includes(box))
      .slice(0, MAX_FALLBACK_READERS);
  };

  /** The boxes to ask, in order: store readers, then fallback readers; all linked boxes while this box has lost the store. */
  const listCandidates = (): readonly BoxName[] => {
    const storeReaders = listStoreReaders();
    const up = links.listConnected().map(({ box }) => box);
    const listIfUp = (boxes: readonly BoxName[]) =>
      boxes.filter((box) => up.includes(box));
    const linkedReaders = listIfUp(storeReaders);
    if (!isStoreUsable()) {
      const others = up.filter((box) => !storeReaders.includes(box));
      return [...linkedReaders, ...rankForAsker(others, own.box)];
    }
    if (storeReaders.includes(own.box)) return [];
    return [
      ...rankLinkedReaders(linkedReaders),
      ...listIfUp(listFallbackReaders(storeReaders)),
    ];
  };

  /** Whether a link to a store reader is coming up, as when this box has just read the list of boxes. */
  const isLinkExpected = (): boolean => {
    const storeReaders = listStoreReaders();
    const up = links.listConnected().map(({ box }) => box);
    return (
      isStoreUsable() &&
      !storeReaders.includes(own.box) &&
      storeReaders.some((box) => !up.includes(box) && isUsable(box))
    );
  };

  /**
   * Waits for a link to a store reader while the guarded table is fresh: otherwise boxes that start together would all call
   * the store. Returns the box to ask, or undefined.
   */
  const awaitLink = async (signal: AbortSignal): Promise<BoxName | undefined> => {
    const until = Math.min(
      guardedAsOf + options.guard.age,
      clock.monotonic() + LINK_WAIT_MS,
    );
    for (;;) {
      const box = chooseBox();
      if (box !== undefined || !isLinkExpected() || signal.aborted) return box;
      if (clock.monotonic() >= until) return undefined;
      await waitFor(clock, LINK_POLL_MS);
    }
  };

  const listUpRanked = () =>
    rankForAsker(
      links.listConnected().map(({ box }) => box),
      own.box,
    );

  /** The box to ask; undefined when this box has to ask the store itself. */
  const chooseBox = (): BoxName | undefined => listCandidates().find(isUsable);

  const recordGuarded = (table: string, asOf: number) => {
    if (table === options.guard.table) guardedAsOf = Math.max(guardedAsOf, asOf);
  };

  /** Calls the store with a time limit; after a failure, other boxes are asked for a while. */
  const callStore = async <T>(
    request: Readonly<{ table: string; signal: AbortSignal; wait?: Ms }>,
    call: (signal: AbortSignal) => Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> => {
    const { table, signal, wait = 0 } = request;
    const limit = (wait + options.storePatience) as Ms;
    const sentAt = clock.monotonic();
    const read = await runWithin(clock, limit, (timeLimit) =>
      call(AbortSignal.any([signal, timeLimit])),
    );
    // Aborted because another answer showed a new era: the store has not failed.
    if (signal.reason === NEW_ERA) return read;
    const hasAnswered = read.ok || read.val.kind === "history_gone";
    if (hasAnswered && storeFailedUntil > -Infinity) restoreEjected();
    storeFailedUntil = hasAnswered ? -Infinity : clock.monotonic() + EJECTION_MS;
    if (read.ok) recordGuarded(table, sentAt);
    return read;
  };

  const ejectBox = (box: BoxName, reason: EjectionReason) => {
    if (!isUsable(box)) return;
    ejected.set(box, { reason, until: clock.monotonic() + EJECTION_MS });
    options.onEjected(box, reason);
  };

  /** Ejects a box whose call failed, and aborts its other calls: they would fail as well, only later, and continue elsewhere. */
  const abortCalls = (box: BoxName, end: "silent" | "unreachable") => {
    ejectBox(box, "no_answer");
    // A connection that has gone silent stays silent, while a new one may work.
    if (end === "silent") links.reopen(box);
    for (const call of openCalls.get(box) ?? []) call.abort(end);
  };

  /** Time after which a box without an answer counts as silent. */
  const computeTimeout = (question: TableQuestion): Ms =>
    (question.kind === "whole" ? patience : question.wait + patience) as Ms;

  /** Time until the guarded table is too old to wait any longer for a box, as behind a slow link; infinite for other reads. */
  const computeGuardTimeLeft = (question: TableQuestion): Ms => {
    const isBound = question.kind === "changes" && question.table === options.guard.table;
    if (!isBound) return Infinity as Ms;
    return Math.max(0, guardedAsOf + options.guard.age - clock.monotonic()) as Ms;
  };

  const askWithin = async (
    box: BoxName,
    question: TableQuestion,
    outer: AbortSignal,
  ): Promise<TableAnswer | AskProblem> => {
    const call = new AbortController();
    const abort = () => call.abort();
    const sentAt = clock.monotonic();
    const timeout = computeTimeout(question);
    const guardTimeLeft = computeGuardTimeLeft(question);
    // A box that had less than its full time may be healthy: its link and its other calls stay.
    const onTimeout = guardTimeLeft < timeout ? abort : () => abortCalls(box, "silent");
    const timer = clock.setTimeLimit(Math.min(timeout, guardTimeLeft) as Ms, onTimeout);
    const calls = openCalls.get(box) ?? new Set();
    openCalls.set(box, calls.add(call));
    outer.addEventListener("abort", abort, { once: true });
    const askLink = async () => {
      try {
        return await links.ask(box, question, call.signal);
      } finally {
        // A timer that is left would eject the box as silent.
        timer.cancel();
        calls.delete(call);
        outer.removeEventListener("abort", abort);
      }
    };
    const answered = await askLink();
    if (answered.ok) {
      if ("age" in answered.val) recordGuarded(question.table, sentAt - answered.val.age);
      return answered.val;
    }
    if (call.signal.aborted)
      return call.signal.reason === "unreachable" ? "unreachable" : "silent";
    abortCalls(box, "unreachable");
    return "unreachable";
  };

  const hasLostStore = (answer: TableAnswer) =>
    "silence" in answer ? answer.silence > maxSilence : answer.kind === "not_known";

  /** Asks one box, and ejects it if it has lost the store. */
  const askBox = async (
    box: BoxName,
    question: TableQuestion,
    signal: AbortSignal,
  ): Promise<TableAnswer | AskProblem> => {
    const answer = await askWithin(box, question, signal);
    if (typeof answer === "string" || !hasLostStore(answer)) return answer;
    ejectBox(box, "lost_the_store");
    return "lost_the_store";
  };

  /**
   * Asks one box after another until one answers that has not lost the store. Boxes that are unreachable or have lost it fail
   * fast, so the next one is asked instead of the store. Gives up after a silent box, which has used up the time for others.
   */
  const askInTurn = async (
    first: BoxName | undefined,
    question: TableQuestion,
    signal: AbortSignal,
  ): Promise<TableAnswer | undefined> => {
    for (let box = first; box !== undefined; box = chooseBox()) {
      const answer = await askBox(box, question, signal);
      if (typeof answer !== "string") return answer;
      if (answer === "silent") return undefined;
    }
    return undefined;
  };

  /** Asks all linked boxes in turn for any answer, however old. */
  const askAll = async (
    question: TableQuestion,
    signal: AbortSignal,
  ): Promise<TableAnswer | undefined> => {
    for (const box of listUpRanked().filter(isUsable)) {
      if (signal.aborted) return undefined;
      const answer = await askWithin(box, question, signal);
      if (typeof answer !== "string" && answer.kind !== "not_known") return answer;
    }
    return undefined;
  };

  const toSnapshot = (
    answer: TableAnswer | undefined,
    atLeast: StoreRevision,
  ): TableSnapshot | undefined => {
    if (answer?.kind !== "whole") return undefined;
    const { rows, revision, age } = answer;
    if (isEarlierRevision(revision, atLeast)) return undefined;
    return { rows, revision, source: { kind: "box", age } };
  };

  /**
   * Reads a table for the first time. An old table is better than none, as its age is known. The store comes first; when it is
   * silent, the answer of another box lets this box serve callers a second earlier.
   */
  const readFirst = async (
    request: WholeRequest,
  ): Promise<Result<TableSnapshot, StoreFailure>> => {
    const { table, atLeast, signal } = request;
    const storeCall = new AbortController();
    const outer = AbortSignal.any([signal, storeCall.signal]);
    const fromStore = callStore({ table, signal: outer }, (limited) =>
      store.readTable({ ...request, signal: limited }),
    );
    const early = await Promise.race([fromStore, waitFor(clock, STORE_FIRST_MS)]);
    if (early?.ok) return early;
    const snapshot = toSnapshot(
      await askAll({ kind: "whole", table, atLeast }, signal),
      atLeast,
    );
    if (!snapshot) return fromStore;
    storeCall.abort();
    return Ok(snapshot);
  };

  const readTable = async (
    request: WholeRequest,
  ): Promise<Result<TableSnapshot, StoreFailure>> => {
    const { table, atLeast, signal } = request;
    if (compareRevisions(atLeast, INITIAL_REVISION) === 0) return readFirst(request);
    const question = { kind: "whole", table, atLeast } as const;
    const answer = await askInTurn(chooseBox(), question, signal);
    const snapshot = toSnapshot(answer, atLeast);
    if (snapshot) return Ok(snapshot);
    return callStore({ table, signal }, (limited) =>
      store.readTable({ ...request, signal: limited }),
    );
  };

  const awaitChanges = async (
    request: ChangesRequest,
  ): Promise<Result<TableChanges, StoreFailure>> => {
    const { table, since, wait, signal } = request;
    const awaitAtStore = (storeWait: Ms) =>
      callStore({ table, signal, wait: storeWait }, (limited) =>
        store.awaitChanges({ ...request, wait: storeWait, signal: limited }),
      );
    const sentAt = clock.monotonic();
    const box = await awaitLink(signal);
    if (box === undefined) return awaitAtStore(wait);
    const left = wait * options.relayedWaits - (clock.monotonic() - sentAt);
    const relayedWait = Math.max(0, left) as Ms;
    const question = { kind: "changes", table, since, wait: relayedWait } as const;
    const answer = await askInTurn(box, question, signal);
    if (!answer) return awaitAtStore(NO_WAIT_MS);
    if (answer.kind !== "changes") return Err({ kind: "history_gone" });
    const { changes, revision, age } = answer;
    // A box of an earlier release sends no era, so its answer seems earlier than `since`.
    if (isEarlierRevision(revision, since)) return awaitAtStore(NO_WAIT_MS);
    return Ok({ changes, revision, source: { kind: "box", age } });
  };

  return { readTable, awaitChanges };
};
