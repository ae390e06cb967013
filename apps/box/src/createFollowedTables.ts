/**
 * Follows the store's tables (configuration, servers, boxes, blocked requests), directly or
 * through another box, and answers other boxes that follow them here.
 */
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
import {
  BLOCKED_TABLE,
  BOX_TABLE,
  createStoreReader,
  TABLE,
  type CallBounds,
} from "@stairgauge/platform";
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
import { createRowFaultReporter } from "./reportRowFaults.js";
import { createUnexpectedErrorReporter } from "./reportUnexpected.js";

/**
 * Consumers of one table: its sink, and the rules by which rows count after the store was
 * restored from a copy.
 */
export type TableUse = Readonly<{
  sink: FollowerSink;
  rules: RestoreRules;
  onRestored?: (report: RestoreReport) => void;
}>;

/** The tables that a box follows. */
export type FollowedTableUses = Readonly<{
  configuration: TableUse;
  servers: TableUse;
  boxes: TableUse;
  blocked: TableUse;
}>;

export type FollowedTablesOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  links: Pick<
    PeerLinks,
    "ask" | "listConnected" | "listReachable" | "countBoxes" | "reopen"
  >;
  callBounds: CallBounds;
  tables: FollowedTableUses;
  /**
   * Called when a table has been read completely after the store was restored from a copy, with
   * the rows that count here although the copy lacks or contradicts them.
   */
  onRestored: (unsettled: SharedUnsettledRows) => void;
}>;

export type FollowedTables = Readonly<{
  /** Starts following configuration and servers, which clients wait for. */
  start: () => void;
  /**
   * Starts following the tables that boxes write themselves (boxes and blocked requests);
   * called once this box listens for other boxes.
   */
  startOwnLists: () => void;
  stop: () => void;
  /** Answers another box that follows a table through this one. */
  answer: (question: TableQuestion) => Promise<TableAnswer>;
  /**
   * Lists the rows that count at this box but differ in the copy from which the store was
   * restored; usually empty.
   */
  listUnsettled: () => readonly SharedUnsettledRows[];
  /** Applies such rows of another box. */
  applyUnsettled: (unsettled: readonly SharedUnsettledRows[]) => void;
}>;

/**
 * Duration of one long-poll call, as a share of the bound on a configuration's age. A change
 * has to arrive in time also if the box that is asked is frozen or cut off: it is given up
 * after 1.5 waits, and then the store is asked.
 */
const WAIT_SHARE = 0.2;

/**
 * Share of the bound after which a box asks the store itself, even if its call to another box
 * is still open.
 */
const GUARD_SHARE = 0.75;

/**
 * Wait of a call to another box, in waits of that box's own calls: updates and confirmations
 * reach that box in between.
 */
const RELAYED_WAITS = 1.5;

/**
 * Maximum age of relayed rows, in waits, while the relaying box reaches the store; if they are
 * older, it has lost the store.
 */
const MAX_WAITS_OLD = 2;

/** Share of the same bound allowed for an answer beyond its wait. */
const SLACK_SHARE = 0.1;
const PATIENCE_SHARE = 0.2;

/** Share of a call's patience that the asked box may spend on reading the table itself. */
const CATCH_UP_SHARE = 0.5;

/**
 * Boxes that start together write their rows one after the other; without this delay each row
 * would cost a call of its own.
 */
const GATHER_BOXES_MS = 500 as Ms;

/**
 * Pause of the other followers, in longest pauses of the configuration's: while the store fails
 * for the configuration it fails for all tables, and its first answer for the configuration ends
 * their pauses. Without this, each box makes several calls a second to a store that resets them.
 */
const OTHER_TABLES_PAUSES = 5;

/**
 * The table of blocked requests may be read late, since boxes also send blocked requests to
 * each other.
 */
const BLOCKED_RETRY_PAUSE = { first: 2_000 as Ms, most: 10_000 as Ms };

type Timing = Readonly<{
  wait: Ms;
  maxSilence: Ms;
  patience: Ms;
  guardAge: Ms;
  /**
   * Time beyond its wait that a call may take if it asks a silent box first and then the store.
   */
  computeWholePatience: (tableWait: number) => Ms;
}>;

/** Derives the times of calls between boxes from the bound on a configuration. */
export const computeTiming = ({ store, bounds }: BoxSettings): Timing => {
  const bound = bounds.configurationMs;
  const wait = store.configurationWaitMs ?? bound * WAIT_SHARE;
  return {
    wait: wait as Ms,
    maxSilence: (wait * MAX_WAITS_OLD + bound * SLACK_SHARE) as Ms,
    patience: (bound * PATIENCE_SHARE) as Ms,
    guardAge: (bound * GUARD_SHARE) as Ms,
    computeWholePatience: (tableWait) =>
      (tableWait * (RELAYED_WAITS - 1) + bound * PATIENCE_SHARE + store.patienceMs) as Ms,
  };
};

/**
 * Computes how much a box can relay: its link carries a configuration to dozens of other boxes,
 * and each answer takes processor time.
 */
export const computeCapacity = ({ limits }: BoxSettings): number =>
  limits.linkMbps * limits.cores;

/** Creates the followers; nothing is requested before `start`. */
export const createFollowedTables = (options: FollowedTablesOptions): FollowedTables => {
  const { settings, clock, random, log, metrics, links, tables } = options;
  const { store } = settings;
  const { wait, maxSilence, patience, guardAge, computeWholePatience } =
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
      onRowFault: createRowFaultReporter({ clock, log, metrics }),
      bounds: options.callBounds,
    }),
    links,
    minStoreReaders: store.hearers,
    maxSilence,
    relayedWaits: RELAYED_WAITS,
    guard: { table: TABLE.operator, age: guardAge },
    patience,
    storePatience: store.patienceMs as Ms,
    onEjected: (box, reason) => log.writeDecision("box_not_asked", { peer: box, reason }),
  });
  const revisions = createRevisionWatermark();
  const reportUnexpected = createUnexpectedErrorReporter(log);
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
      onStepFailed: ({ error, inARow }) => {
        metrics.failedTableSteps.inc({ table });
        reportUnexpected(error, { table, inARow });
      },
      ...changes,
    });
  };

  const otherPause = {
    first: retryPause.first,
    most: (store.mostPauseMs * OTHER_TABLES_PAUSES) as Ms,
  };
  const servers = follow(TABLE.servers, store.serversWaitMs, tables.servers, {
    retryPause: otherPause,
  });
  const boxes = follow(BOX_TABLE, store.boxesWaitMs, tables.boxes, {
    gather: GATHER_BOXES_MS,
    retryPause: otherPause,
  });
  const endOtherPauses = () => {
    for (const follower of [servers, boxes]) follower.endPause();
  };
  const blocked = follow(BLOCKED_TABLE, store.blockedWaitMs, tables.blocked, {
    retryPause: BLOCKED_RETRY_PAUSE,
  });
  const { sink: configurationSink } = tables.configuration;
  const configuration = follow(TABLE.operator, wait, {
    ...tables.configuration,
    sink: {
      ...configurationSink,
      onWhole: (...answer) => {
        configurationSink.onWhole(...answer);
        endOtherPauses();
      },
      onChanges: (...answer) => {
        configurationSink.onChanges(...answer);
        endOtherPauses();
      },
      // A store that fails for one table fails for all. The servers' call waits longer and
      // would notice late.
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
    applyUnsettled: (unsettled) => {
      for (const { table, ...rows } of unsettled) guards.get(table)?.applyUnsettled(rows);
    },
    answer: (question) =>
      answerTable({ mirrors, pulse, maxSilence, catchUpWait }, question),
  };
};
