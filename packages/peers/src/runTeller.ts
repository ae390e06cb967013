/** Collects changes of this box's runs and tells them together. */
import type { BoxName, Clock, Ms } from "@stairgauge/common";
import { NO_CRASH_NEWS, type CrashNews } from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import { NO_LIMIT_NEWS, type LimitNews } from "@stairgauge/limits";
import type { LoadBook, RunChange } from "@stairgauge/placement";
import type { RunUpdate, ToldLeaving, ToldReport } from "./types.js";

/** Changes within this time go out together; a placement by another box should see them. */
const GATHER_MS = 3 as Ms;

/** What telling needs. */
export type RunTellerOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  book: LoadBook;
  send: (update: RunUpdate) => void;
  /** Sends to a few boxes, which pass it on. */
  sendToSome: (update: RunUpdate) => void;
  /** Servers that left lately. */
  listLeaving: () => readonly ToldLeaving[];
  /** All that is known of requests that end servers. */
  listCrashes: () => CrashNews;
  /** All that is known of limits that servers name. */
  listLimits: () => LimitNews;
}>;

/** Tells the runs of one box. */
export type RunTeller = Readonly<{
  takeChange: (change: RunChange) => void;
  /** An engine has reported to this box. */
  takeReport: (told: ToldReport) => void;
  makeWhole: () => RunUpdate;
  /** A server gets no new work: a few boxes hear it, and pass it on. */
  tellLeaving: (told: ToldLeaving) => void;
  /** A server says that it gets no new work: all that this box is linked to hear it at once. */
  tellOwnWord: (told: ToldLeaving) => void;
  /** A server broke a request off: told at once, since whoever places next would choose it. */
  tellBroken: (server: ServerId) => void;
  /** Servers ended under requests of this box, or it served such a request. */
  takeCrashes: (news: CrashNews) => void;
  /** Servers have told this box of their limits. */
  takeLimits: (news: LimitNews) => void;
}>;

/** Creates the teller. */
export const createRunTeller = (options: RunTellerOptions): RunTeller => {
  const { clock, own, book, send, sendToSome } = options;
  let pending: RunChange[] = [];
  let reports: ToldReport[] = [];
  let crashes = NO_CRASH_NEWS;
  let limits = NO_LIMIT_NEWS;
  let isScheduled = false;

  const buildUpdate = (told: Partial<RunUpdate>): RunUpdate => ({
    box: own,
    isWhole: false,
    put: [],
    drop: [],
    leaving: [],
    reports: [],
    broken: [],
    crashes: NO_CRASH_NEWS,
    limits: NO_LIMIT_NEWS,
    ...told,
  });

  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    clock.setTimer(GATHER_MS, sendPending);
  };
  const sendPending = () => {
    const changes = pending;
    const toldReports = reports;
    const toldCrashes = crashes;
    const toldLimits = limits;
    isScheduled = false;
    pending = [];
    reports = [];
    crashes = NO_CRASH_NEWS;
    limits = NO_LIMIT_NEWS;
    const last = new Map(
      changes.map((change) => [`${change.server} ${change.id}`, change]),
    );
    const kept = [...last.values()];
    send(
      buildUpdate({
        reports: toldReports,
        crashes: toldCrashes,
        limits: toldLimits,
        put: kept.flatMap(({ server, run }) => (run ? [{ server, run }] : [])),
        drop: kept.flatMap(({ server, id, run }) => (run ? [] : [{ server, id }])),
      }),
    );
  };

  return {
    takeChange: (change) => {
      pending.push(change);
      schedule();
    },
    takeReport: (told) => {
      reports.push(told);
      schedule();
    },
    makeWhole: () =>
      buildUpdate({
        isWhole: true,
        put: book.listAllRuns(),
        leaving: options.listLeaving(),
        crashes: options.listCrashes(),
        limits: options.listLimits(),
      }),
    takeCrashes: ({ ends, served }) => {
      crashes = {
        ends: [...crashes.ends, ...ends],
        served: [...crashes.served, ...served],
      };
      schedule();
    },
    takeLimits: ({ named, lifted }) => {
      limits = {
        named: [...limits.named, ...named],
        lifted: [...limits.lifted, ...lifted],
      };
      schedule();
    },
    tellBroken: (server) => send(buildUpdate({ broken: [server] })),
    tellLeaving: (told) => sendToSome(buildUpdate({ leaving: [told] })),
    tellOwnWord: (told) => send(buildUpdate({ leaving: [told] })),
  };
};
