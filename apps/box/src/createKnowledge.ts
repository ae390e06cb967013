/** What a box knows of configuration, servers and boxes: followed through the store or a box that hears it, and handed on. */
import type { BoxName, Clock, DataHallName, Ms, Random } from "@stairgauge/common";
import {
  answerTable,
  createSharedReader,
  hasUnsettled,
  type PeerLinks,
  type TableAnswer,
  type TableQuestion,
  type SharedUnsettledRows,
} from "@stairgauge/peers";
import { BLOCKED_TABLE, BOX_TABLE, createStoreReader, TABLE } from "@stairgauge/platform";
import type { BoxSettings } from "@stairgauge/settings";
import {
  createRestoreGuard,
  createRevisionWatermark,
  createTableFollower,
  createTableMirror,
  type FollowerOptions,
  type FollowerSink,
  type RestoreGuard,
  type RestoreReport,
  type RestoreRules,
  type TableFollower,
} from "@stairgauge/storefeed";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { observeEras } from "./observers.js";

/** Who takes what is read of a table, and what counts of it when the store comes back from a copy. */
export type TableUse = Readonly<{
  sink: FollowerSink;
  rules: RestoreRules;
  onRestored?: (report: RestoreReport) => void;
}>;

/** The tables that a box follows. */
export type KnowledgeTables = Readonly<{
  configuration: TableUse;
  servers: TableUse;
  boxes: TableUse;
  blocked: TableUse;
}>;

/** What following needs. */
export type KnowledgeOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  links: Pick<PeerLinks, "ask" | "listUp" | "listReachable" | "countBoxes" | "renew">;
  tables: KnowledgeTables;
  /** A table has been read whole since the store came back from a copy; these of its rows count against the store's word. */
  onRestored: (told: SharedUnsettledRows) => void;
}>;

/** The followed tables of one box. */
export type Knowledge = Readonly<{
  /** Configuration and servers, which clients wait for. */
  start: () => void;
  /** The lists that the boxes keep themselves, once this one listens for others. */
  startOwnLists: () => void;
  stop: () => void;
  /** Answers another box by what this one knows. */
  answer: (question: TableQuestion) => Promise<TableAnswer>;
  /** What this box knows beyond the copy that the store has come back from; nothing most of the time. */
  listUnsettled: () => readonly SharedUnsettledRows[];
  /** Takes what another box knows beyond it. */
  takeUnsettled: (told: readonly SharedUnsettledRows[]) => void;
}>;

/**
 * Share of the bound on a configuration that one call waits for news. A change has to come through also when the box that
 * is asked has frozen or is cut off: 1.5 such waits until it is given up, and the store asked in its stead.
 */
const WAIT_SHARE = 0.2;

/** Share of the bound beyond which a box asks the store itself, whatever keeps the box that it has asked. */
const GUARD_SHARE = 0.75;

/** Waits of a box that asks another, in waits of that other: its news and its confirmations come in between. */
const RELAYED_WAITS = 1.5;

/** Knowledge handed on is at most two waits old while its box hears the store; beyond it the box has lost the store. */
const MAX_WAITS_OLD = 2;

/** Share of the same bound for what an answer takes beyond its wait. */
const SLACK_SHARE = 0.1;
const PATIENCE_SHARE = 0.2;

/** Share of a box's patience that the box that it asks may take to read a table itself. */
const CATCH_UP_SHARE = 0.5;

/** Boxes that start together put their rows in one after the other, and each would be a call of its own. */
const GATHER_BOXES_MS = 500 as Ms;

/** The list of blocked requests is in no hurry, since boxes tell each other of them. */
const BLOCKED_RETRY_PAUSE = { first: 2_000 as Ms, most: 10_000 as Ms };

type Timing = Readonly<{
  wait: Ms;
  mostSilence: Ms;
  patience: Ms;
  guardAge: Ms;
  /** How much longer than its wait a call may take that asks a silent box first and then the store. */
  computeWholePatience: (tableWait: number) => Ms;
}>;

/** Derives how boxes ask and answer each other from the bound on a configuration. */
export const computeTiming = ({ store, bounds }: BoxSettings): Timing => {
  const bound = bounds.configurationMs;
  const wait = store.configurationWaitMs ?? bound * WAIT_SHARE;
  return {
    wait: wait as Ms,
    mostSilence: (wait * MAX_WAITS_OLD + bound * SLACK_SHARE) as Ms,
    patience: (bound * PATIENCE_SHARE) as Ms,
    guardAge: (bound * GUARD_SHARE) as Ms,
    computeWholePatience: (tableWait) =>
      (tableWait * (RELAYED_WAITS - 1) + bound * PATIENCE_SHARE + store.patienceMs) as Ms,
  };
};

/** What a box can hand on: a configuration goes to dozens of others over its link, and each answer takes processor time. */
export const computeCapacity = ({ limits }: BoxSettings): number =>
  limits.linkMbps * limits.cores;

/** Creates the followers; nothing is asked before `start`. */
export const createKnowledge = (options: KnowledgeOptions): Knowledge => {
  const { settings, clock, random, log, metrics, links, tables } = options;
  const { store } = settings;
  const { wait, mostSilence, patience, guardAge, computeWholePatience } =
    computeTiming(settings);
  const catchUpWait = (patience * CATCH_UP_SHARE) as Ms;
  const pulse = createTableMirror(clock);
  const mirrors = new Map([
    [TABLE.operator, pulse],
    [TABLE.servers, createTableMirror(clock)],
    [BOX_TABLE, createTableMirror(clock)],
    [BLOCKED_TABLE, createTableMirror(clock)],
  ]);
  const reader = createSharedReader({
    clock,
    own: {
      box: settings.box as BoxName,
      capacity: computeCapacity(settings),
      dataHall: settings.dataHall as DataHallName,
    },
    store: createStoreReader({
      address: store.address,
      onEraFault: (fault) => log.writeWarning("store_era_fault", fault),
    }),
    links,
    hearers: store.hearers,
    mostSilence,
    relayedWaits: RELAYED_WAITS,
    guard: { table: TABLE.operator, age: guardAge },
    patience,
    storePatience: store.patienceMs as Ms,
    onDistrust: (box, reason) =>
      log.writeDecision("box_not_asked", { peer: box, reason }),
  });
  const revisions = createRevisionWatermark();
  const guards = new Map<string, RestoreGuard>();
  const observer = observeEras({ log, metrics }, clock);
  revisions.watchEra(observer.onEraChange);
  const retryPause = { first: store.firstPauseMs as Ms, most: store.mostPauseMs as Ms };
  const follow = (
    table: string,
    tableWait: number,
    { sink, rules, onRestored }: TableUse,
    changes: Partial<Pick<FollowerOptions, "gather" | "retryPause">> = {},
  ) => {
    const guard = createRestoreGuard({
      clock,
      rules,
      onRestored: (report) => {
        observer.onRestored(table, report);
        onRestored?.(report);
        options.onRestored({ table, ...guard.listUnsettled() });
      },
    });
    guards.set(table, guard);
    return createTableFollower({
      reader,
      clock,
      random,
      patience: computeWholePatience(tableWait),
      retryPause,
      revisions,
      table,
      wait: tableWait as Ms,
      gather: 0 as Ms,
      sink: mirrors.get(table)!.observe(guard.observe(sink)),
      onStaleRead: (read) => log.writeDecision("stale_read", read),
      ...changes,
    });
  };

  const servers = follow(TABLE.servers, store.serversWaitMs, tables.servers);
  const boxes = follow(BOX_TABLE, store.boxesWaitMs, tables.boxes, {
    gather: GATHER_BOXES_MS,
  });
  const blocked = follow(BLOCKED_TABLE, store.blockedWaitMs, tables.blocked, {
    retryPause: BLOCKED_RETRY_PAUSE,
  });
  const { sink: configurationSink } = tables.configuration;
  const configuration = follow(TABLE.operator, wait, {
    ...tables.configuration,
    sink: {
      ...configurationSink,
      // A store that is lost for one table is lost for both: the longer call would notice late.
      onFailure: (failure, failuresInARow) => {
        configurationSink.onFailure(failure, failuresInARow);
        if (failuresInARow === 1) servers.reread();
      },
    },
  });
  const followers: readonly TableFollower[] = [configuration, servers, boxes, blocked];

  return {
    start: () => {
      configuration.start();
      servers.start();
    },
    startOwnLists: () => {
      boxes.start();
      blocked.start();
    },
    stop: () => {
      for (const follower of followers) follower.stop();
    },
    listUnsettled: () =>
      [...guards]
        .map(([table, guard]) => ({ table, ...guard.listUnsettled() }))
        .filter(hasUnsettled),
    takeUnsettled: (told) => {
      for (const { table, ...rows } of told) guards.get(table)?.takeUnsettled(rows);
    },
    answer: (question) =>
      answerTable({ mirrors, pulse, mostSilence, catchUpWait }, question),
  };
};
