/**
 * Reads tables from a box that hears the store, so that calls to the store do not grow with the boxes; from the store
 * itself while this box is one that hears it, knows none, or finds what it is told too old.
 */
import {
  Err,
  Ok,
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
import { rankByCapacity, rankForAsker, rankStoreReaders } from "./rankStoreReaders.js";
import type { Member, TableAnswer, TableQuestion } from "./types.js";

/** Why a box is not asked for a while. */
export type DistrustReason = "no_answer" | "lost_the_store";

/** What reading through other boxes needs. */
export type SharedReaderOptions = Readonly<{
  clock: Clock;
  own: Member;
  store: StoreReader;
  links: Pick<PeerLinks, "ask" | "listUp" | "listReachable" | "countBoxes" | "renew">;
  /** How many boxes hear the store. */
  hearers: number;
  /** A box that has not heard the store for longer has lost it, and is of no use. */
  mostSilence: Ms;
  /** How many times longer than the store a box is asked to wait for news: its own confirmations come in between. */
  relayedWaits: number;
  /** The table whose age a promise bounds, and the age at which the store itself is asked whatever a box may yet say. */
  guard: Readonly<{ table: string; age: Ms }>;
  /** How much longer than asked a box may take to answer. */
  patience: Ms;
  /** The same for the store; the caller of the reader waits for both, one after the other. */
  storePatience: Ms;
  onDistrust: (box: BoxName, reason: DistrustReason) => void;
}>;

/** How long a box that did not answer or knew too little is passed over, and the store when it failed. */
const DISTRUST_MS = 3_000;

/** How long the store comes before other boxes for one that knows nothing yet. */
const STORE_FIRST_MS = 250 as Ms;

/**
 * Boxes behind those that hear the store that are asked when all of these have lost it: the first of them that reaches the
 * store hears it for the rest, where otherwise each box of a site would.
 */
export const SECOND_LINE = 3;

/** How long a link that is about to stand is waited for: less than after which it counts as failing. */
const LINK_MS = 800;
const LINK_LOOK_MS = 50 as Ms;

/** A caller that was let down by a box wants to know what is there now, not what comes. */
const AT_ONCE_MS = 0 as Ms;

type Distrust = Readonly<{ reason: DistrustReason; until: number }>;

/** Why asking a box brought nothing. */
type AskEnd = "silent" | "unreachable" | "lost_the_store";

/** Creates the reader. */
export const createSharedReader = (options: SharedReaderOptions): StoreReader => {
  const { clock, own, store, links, patience, mostSilence } = options;
  const distrusted = new Map<BoxName, Distrust>();
  const asked = new Map<BoxName, Set<AbortController>>();
  let storeLostUntil = -Infinity;
  let guardedAsOf = -Infinity;

  const isTrusted = (box: BoxName) =>
    (distrusted.get(box)?.until ?? -Infinity) <= clock.monotonic();
  const hasStore = () => storeLostUntil <= clock.monotonic();
  /** When the store is back here, it is likely to be back at the boxes that had lost it. */
  const resumeTrust = () => {
    for (const [box, { reason }] of distrusted)
      if (reason === "lost_the_store") distrusted.delete(box);
  };

  const listHearers = () =>
    rankStoreReaders(
      [own, ...links.listReachable()],
      options.hearers,
      links.countBoxes(),
    );

  /** Boxes that stand in for those who hear the store; each asks only those before it, so that none asks in a circle. */
  const listSecondLine = (hearers: readonly BoxName[]): readonly BoxName[] => {
    const ranked = rankByCapacity([own, ...links.listReachable()]);
    const before = ranked.slice(0, ranked.indexOf(own.box));
    return before.filter((box) => !hearers.includes(box)).slice(0, SECOND_LINE);
  };

  /** Whom to ask: those who hear the store, or anybody while this box itself has lost it. */
  const listCandidates = (): readonly BoxName[] => {
    const hearers = listHearers();
    const up = links.listUp().map(({ box }) => box);
    const listIfUp = (boxes: readonly BoxName[]) =>
      boxes.filter((box) => up.includes(box));
    const hearing = listIfUp(hearers);
    if (!hasStore()) {
      const others = up.filter((box) => !hearers.includes(box));
      return [...hearing, ...rankForAsker(others, own.box)];
    }
    if (hearers.includes(own.box)) return [];
    return [...rankForAsker(hearing, own.box), ...listIfUp(listSecondLine(hearers))];
  };

  /** Others hear the store, and their links are about to stand, as when a box has just read who there is. */
  const isAboutToLink = (): boolean => {
    const hearers = listHearers();
    const up = links.listUp().map(({ box }) => box);
    return (
      hasStore() &&
      !hearers.includes(own.box) &&
      hearers.some((box) => !up.includes(box) && isTrusted(box))
    );
  };

  /**
   * Waits for a link to a box that hears the store, as long as what this one knows is fresh: boxes that start together would
   * all call the store meanwhile.
   */
  const awaitLink = async (signal: AbortSignal): Promise<BoxName | undefined> => {
    const until = Math.min(guardedAsOf + options.guard.age, clock.monotonic() + LINK_MS);
    while (chooseBox() === undefined && isAboutToLink() && !signal.aborted) {
      if (clock.monotonic() >= until) break;
      await waitFor(clock, LINK_LOOK_MS);
    }
    return chooseBox();
  };

  const listUpForSelf = () =>
    rankForAsker(
      links.listUp().map(({ box }) => box),
      own.box,
    );

  /** The box to ask; none when this one has to ask the store itself. */
  const chooseBox = (): BoxName | undefined => listCandidates().find(isTrusted);

  const recordGuarded = (table: string, asOf: number) => {
    if (table === options.guard.table) guardedAsOf = Math.max(guardedAsOf, asOf);
  };

  /** Calls the store for as long as it may take; after a failure other boxes are asked for a while. */
  const callStore = async <T>(
    request: Readonly<{ table: string; signal: AbortSignal; wait?: Ms }>,
    call: (signal: AbortSignal) => Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> => {
    const { table, signal, wait = 0 } = request;
    const within = new AbortController();
    const limit = (wait + options.storePatience) as Ms;
    const timer = clock.setTimer(limit, () => within.abort());
    const sentAt = clock.monotonic();
    const read = await call(AbortSignal.any([signal, within.signal]));
    timer.cancel();
    // Given up for what another call has told: the store is there.
    if (signal.reason === NEW_ERA) return read;
    const hasAnswered = read.ok || read.val.kind === "history_gone";
    if (hasAnswered && storeLostUntil > -Infinity) resumeTrust();
    storeLostUntil = hasAnswered ? -Infinity : clock.monotonic() + DISTRUST_MS;
    if (read.ok) recordGuarded(table, sentAt);
    return read;
  };

  const passOver = (box: BoxName, reason: DistrustReason) => {
    if (!isTrusted(box)) return;
    distrusted.set(box, { reason, until: clock.monotonic() + DISTRUST_MS });
    options.onDistrust(box, reason);
  };

  /** What ends one call to a box ends the others, only later: all that waits for the box goes on elsewhere. */
  const endCalls = (box: BoxName, end: "silent" | "unreachable") => {
    passOver(box, "no_answer");
    // A connection that has gone silent stays so, while a new one may work.
    if (end === "silent") links.renew(box);
    for (const call of asked.get(box) ?? []) call.abort(end);
  };

  /** A box that has not answered by then is silent. */
  const computePatience = (question: TableQuestion): Ms =>
    (question.kind === "whole" ? patience : question.wait + patience) as Ms;

  /** What this one knows must not grow too old meanwhile, as behind a slow link. */
  const computeGuardLeft = (question: TableQuestion): Ms => {
    const isBound = question.kind === "changes" && question.table === options.guard.table;
    if (!isBound) return Infinity as Ms;
    return Math.max(0, guardedAsOf + options.guard.age - clock.monotonic()) as Ms;
  };

  const askWithin = async (
    box: BoxName,
    question: TableQuestion,
    outer: AbortSignal,
  ): Promise<TableAnswer | AskEnd> => {
    const call = new AbortController();
    const abort = () => call.abort();
    const sentAt = clock.monotonic();
    const usual = computePatience(question);
    const guardLeft = computeGuardLeft(question);
    // A box that was given less than its time may be sound: its link and its other calls stay.
    const endCall = guardLeft < usual ? abort : () => endCalls(box, "silent");
    const timer = clock.setTimer(Math.min(usual, guardLeft) as Ms, endCall);
    const calls = asked.get(box) ?? new Set();
    asked.set(box, calls.add(call));
    outer.addEventListener("abort", abort, { once: true });
    const answered = await links.ask(box, question, call.signal);
    outer.removeEventListener("abort", abort);
    calls.delete(call);
    timer.cancel();
    if (answered.ok) {
      if ("age" in answered.val) recordGuarded(question.table, sentAt - answered.val.age);
      return answered.val;
    }
    if (call.signal.aborted)
      return call.signal.reason === "unreachable" ? "unreachable" : "silent";
    endCalls(box, "unreachable");
    return "unreachable";
  };

  const hasLostStore = (answer: TableAnswer) =>
    "silence" in answer ? answer.silence > mostSilence : answer.kind === "not_known";

  /** What the box tells, if that is of use. */
  const askBox = async (
    box: BoxName,
    question: TableQuestion,
    signal: AbortSignal,
  ): Promise<TableAnswer | AskEnd> => {
    const answer = await askWithin(box, question, signal);
    if (typeof answer === "string" || !hasLostStore(answer)) return answer;
    passOver(box, "lost_the_store");
    return "lost_the_store";
  };

  /**
   * What the first box tells that is there and has not lost the store: the others say so at once, and need not be followed by
   * calls to the store. A silent one has taken the time of others.
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

  /** What any box knows, however old. */
  const askAll = async (
    question: TableQuestion,
    signal: AbortSignal,
  ): Promise<TableAnswer | undefined> => {
    for (const box of listUpForSelf().filter(isTrusted)) {
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
   * A box that knows nothing is better off with what is old than with nothing: its age goes with it. The store comes first;
   * when it is silent, what others know serves callers a second sooner.
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
    const told = toSnapshot(
      await askAll({ kind: "whole", table, atLeast }, signal),
      atLeast,
    );
    if (!told) return fromStore;
    storeCall.abort();
    return Ok(told);
  };

  const readTable = async (
    request: WholeRequest,
  ): Promise<Result<TableSnapshot, StoreFailure>> => {
    const { table, atLeast, signal } = request;
    if (compareRevisions(atLeast, INITIAL_REVISION) === 0) return readFirst(request);
    const question = { kind: "whole", table, atLeast } as const;
    const answer = await askInTurn(chooseBox(), question, signal);
    const told = toSnapshot(answer, atLeast);
    if (told) return Ok(told);
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
    const askedAt = clock.monotonic();
    const box = await awaitLink(signal);
    if (box === undefined) return awaitAtStore(wait);
    const left = wait * options.relayedWaits - (clock.monotonic() - askedAt);
    const relayedWait = Math.max(0, left) as Ms;
    const question = { kind: "changes", table, since, wait: relayedWait } as const;
    const answer = await askInTurn(box, question, signal);
    if (!answer) return awaitAtStore(AT_ONCE_MS);
    if (answer.kind !== "changes") return Err({ kind: "history_gone" });
    const { changes, revision, age } = answer;
    // As a box of an earlier release answers, which tells no era.
    if (isEarlierRevision(revision, since)) return awaitAtStore(AT_ONCE_MS);
    return Ok({ changes, revision, source: { kind: "box", age } });
  };

  return { readTable, awaitChanges };
};
