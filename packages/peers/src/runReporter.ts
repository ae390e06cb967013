/** Collects changes of this box's runs and tells them together. */
import type { BoxName, Clock, Ms } from "@stairgauge/common";
import { NO_CRASH_UPDATE, type CrashUpdate } from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import { NO_LIMIT_UPDATE, type LimitUpdate } from "@stairgauge/limits";
import type { LoadRegistry, RunChange } from "@stairgauge/placement";
import type { RunUpdate, SharedLeaving, SharedReport } from "./types.js";

/** Changes within this time go out together; a placement by another box should see them. */
const GATHER_MS = 3 as Ms;

/** What telling needs. */
export type RunReporterOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  book: LoadRegistry;
  send: (update: RunUpdate) => void;
  /** Sends to a few boxes, which pass it on. */
  sendToSome: (update: RunUpdate) => void;
  /** Servers that left lately. */
  listLeaving: () => readonly SharedLeaving[];
  /** All that is known of requests that end servers. */
  listCrashes: () => CrashUpdate;
  /** All that is known of limits that servers name. */
  listLimits: () => LimitUpdate;
}>;

/** Tells the runs of one box. */
export type RunReporter = Readonly<{
  takeChange: (change: RunChange) => void;
  /** An engine has reported to this box. */
  takeReport: (told: SharedReport) => void;
  makeWhole: () => RunUpdate;
  /** A server gets no new work: a few boxes hear it, and pass it on. */
  reportLeaving: (told: SharedLeaving) => void;
  /** A server says that it gets no new work: all that this box is linked to hear it at once. */
  reportAnnouncedLeaving: (told: SharedLeaving) => void;
  /** A server broke a request off: told at once, since whoever places next would choose it. */
  reportBroken: (server: ServerId) => void;
  /** Servers ended under requests of this box, or it served such a request. */
  takeCrashes: (news: CrashUpdate) => void;
  /** Servers have told this box of their limits. */
  takeLimits: (news: LimitUpdate) => void;
}>;

/** Creates the teller. */
export const createRunReporter = (options: RunReporterOptions): RunReporter => {
  const { clock, own, book, send, sendToSome } = options;
  let pending: RunChange[] = [];
  let reports: SharedReport[] = [];
  let crashes = NO_CRASH_UPDATE;
  let limits = NO_LIMIT_UPDATE;
  let isScheduled = false;

  const buildUpdate = (told: Partial<RunUpdate>): RunUpdate => ({
    box: own,
    isWhole: false,
    put: [],
    drop: [],
    leaving: [],
    reports: [],
    broken: [],
    crashes: NO_CRASH_UPDATE,
    limits: NO_LIMIT_UPDATE,
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
    crashes = NO_CRASH_UPDATE;
    limits = NO_LIMIT_UPDATE;
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
    reportBroken: (server) => send(buildUpdate({ broken: [server] })),
    reportLeaving: (told) => sendToSome(buildUpdate({ leaving: [told] })),
    reportAnnouncedLeaving: (told) => send(buildUpdate({ leaving: [told] })),
  };
};
