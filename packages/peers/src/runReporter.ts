/** Collects changes to this box's runs, and sends them to other boxes in batches. */
import { NO_CONTENTION, type ContentionUpdate } from "@stairgauge/capacity";
import type { BoxName, Clock, Ms } from "@stairgauge/common";
import { NO_CRASH_UPDATE, type CrashUpdate } from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import { NO_LIMIT_UPDATE, type LimitUpdate } from "@stairgauge/limits";
import type { SharedOrigin } from "@stairgauge/origins";
import type { SharedPace } from "@stairgauge/pace";
import type { LoadRegistry, RunChange } from "@stairgauge/placement";
import { makeRunUpdate } from "./makeRunUpdate.js";
import type { RunUpdate, SharedLeaving, SharedReport } from "./types.js";

/** Changes within this time are sent together. It is short, as other boxes should place with the current runs. */
const BATCH_MS = 3 as Ms;

/**
 * How long observed service times wait for another update to be sent with. A message of their own from
 * each box costs the hubs more processor time than all other updates.
 */
const PACES_WAIT_MS = 500 as Ms;

/** Options of a run reporter. */
export type RunReporterOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  /** Runs of this box by server. */
  registry: LoadRegistry;
  /** Sends to all boxes that this box is linked to. */
  send: (update: RunUpdate) => void;
  /** Sends to a few boxes, which pass it on. */
  sendToSome: (update: RunUpdate) => void;
  /** Servers that began to leave recently. */
  listLeaving: () => readonly SharedLeaving[];
  /** All requests on record under which servers crashed. */
  listCrashes: () => CrashUpdate;
  /** All limits on record that servers have named. */
  listLimits: () => LimitUpdate;
  /** What streams of this box are bound to that their clients may take up elsewhere. */
  listOrigins?: (() => readonly SharedOrigin[]) | undefined;
  /** The newest sign of each contended service. */
  listContended?: (() => ContentionUpdate) | undefined;
}>;

/** Reports the runs of one box, and what it learns of servers, to other boxes. */
export type RunReporter = Readonly<{
  /** A run of this box was added, changed or removed. */
  recordChange: (change: RunChange) => void;
  /** An engine has reported to this box. */
  recordReport: (report: SharedReport) => void;
  /** Makes an update with the whole state, for a box that has just been linked to. */
  makeWhole: () => RunUpdate;
  /** A server should get no new work: sent to a few boxes, which pass it on. */
  reportLeaving: (leaving: SharedLeaving) => void;
  /** A server has announced that it gets no new work: sent at once to all boxes that this box is linked to. */
  reportAnnouncedLeaving: (leaving: SharedLeaving) => void;
  /** A server broke off a request: sent at once, since the next placement of any box would choose it. */
  reportBroken: (server: ServerId) => void;
  /** Servers crashed under requests of this box, or such a request was served. */
  recordCrashes: (update: CrashUpdate) => void;
  /** Servers have named limits in their answers to this box, or lifted them. */
  recordLimits: (update: LimitUpdate) => void;
  /** This box observed signs of contended services: sent with the next batch, after the runs that ended. */
  recordContended: (update: ContentionUpdate) => void;
  /** What a stream of this box is bound to: sent with the next batch, like the run's first event. */
  recordOrigin: (origin: SharedOrigin) => void;
  /**
   * Service times that this box has observed, to be sent with the next batch, which is not long in
   * coming at a busy box. A server in a slow period is reported at once.
   */
  recordPaces: (paces: readonly SharedPace[]) => void;
}>;

/** Creates a run reporter. */
export const createRunReporter = (options: RunReporterOptions): RunReporter => {
  const { clock, own, registry, send, sendToSome } = options;
  let pending: RunChange[] = [];
  let reports: SharedReport[] = [];
  let crashes = NO_CRASH_UPDATE;
  let limits = NO_LIMIT_UPDATE;
  let contended = NO_CONTENTION;
  let paces: SharedPace[] = [];
  let origins: SharedOrigin[] = [];
  let isScheduled = false;
  let isPacesScheduled = false;

  const buildUpdate = (parts: Partial<Omit<RunUpdate, "box">>) =>
    makeRunUpdate(own, parts);

  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    clock.setTimer(BATCH_MS, sendPending);
  };
  const schedulePaces = () => {
    if (isPacesScheduled) return;
    isPacesScheduled = true;
    clock.setTimer(PACES_WAIT_MS, () => {
      isPacesScheduled = false;
      if (paces.length > 0) schedule();
    });
  };
  const sendPending = () => {
    const changes = pending;
    const sentReports = reports;
    const sentCrashes = crashes;
    const sentLimits = limits;
    const sentContended = contended;
    const sentPaces = paces;
    const sentOrigins = origins;
    isScheduled = false;
    pending = [];
    reports = [];
    crashes = NO_CRASH_UPDATE;
    limits = NO_LIMIT_UPDATE;
    contended = NO_CONTENTION;
    paces = [];
    origins = [];
    const last = new Map(
      changes.map((change) => [`${change.server} ${change.id}`, change]),
    );
    const kept = [...last.values()];
    send(
      buildUpdate({
        reports: sentReports,
        crashes: sentCrashes,
        limits: sentLimits,
        ...(sentContended.signs.length > 0 && { contended: sentContended }),
        ...(sentPaces.length > 0 && { paces: sentPaces }),
        ...(sentOrigins.length > 0 && { origins: sentOrigins }),
        put: kept.flatMap(({ server, run }) => (run ? [{ server, run }] : [])),
        drop: kept.flatMap(({ server, id, run }) => (run ? [] : [{ server, id }])),
      }),
    );
  };

  return {
    recordChange: (change) => {
      pending.push(change);
      schedule();
    },
    recordReport: (report) => {
      reports.push(report);
      schedule();
    },
    makeWhole: () =>
      buildUpdate({
        isWhole: true,
        put: registry.listAllRuns(),
        leaving: options.listLeaving(),
        crashes: options.listCrashes(),
        limits: options.listLimits(),
        ...(options.listContended && { contended: options.listContended() }),
        ...(options.listOrigins && { origins: options.listOrigins() }),
      }),
    recordCrashes: ({ ends, served }) => {
      crashes = {
        ends: [...crashes.ends, ...ends],
        served: [...crashes.served, ...served],
      };
      schedule();
    },
    recordLimits: ({ named, lifted }) => {
      limits = {
        named: [...limits.named, ...named],
        lifted: [...limits.lifted, ...lifted],
      };
      schedule();
    },
    recordContended: ({ signs }) => {
      contended = { signs: [...contended.signs, ...signs], unknownParts: 0 };
      schedule();
    },
    recordOrigin: (origin) => {
      origins.push(origin);
      schedule();
    },
    recordPaces: (observed) => {
      paces = [...paces, ...observed];
      if (observed.some(({ isSlow }) => isSlow)) schedule();
      else schedulePaces();
    },
    reportBroken: (server) => send(buildUpdate({ broken: [server] })),
    reportLeaving: (leaving) => sendToSome(buildUpdate({ leaving: [leaving] })),
    reportAnnouncedLeaving: (leaving) => send(buildUpdate({ leaving: [leaving] })),
  };
};
