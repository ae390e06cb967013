/** Keeps the directory of backend servers up to date by following the servers' table. */
import { runEach, type Clock, type Ms, type Result } from "@stairgauge/common";
import type {
  ServerDirectory,
  ServerEntry,
  ServerId,
  ServerName,
} from "@stairgauge/directory";
import {
  compareRevisions,
  type FollowerSink,
  type StoredRow,
  type StoreFailure,
  type StoreRevision,
} from "@stairgauge/storefeed";
import { createLapsedEntries } from "./lapsedEntries.js";

/**
 * Running servers write a lapsed entry again within about this time after the store's return; from
 * the users' pages.
 */
const RETURN_WITHIN_MS = 2_000 as Ms;

/**
 * Time that a leaving mark takes to have an effect. It is subtracted from the bound on new work for
 * a server that left.
 */
const LEAVING_MARGIN_MS = 250;

/** Events of following the table. */
export type ServerListEvent = Readonly<
  | { kind: "unreadable"; server: string; failure: unknown }
  | { kind: "store_lost"; failure: StoreFailure }
  | { kind: "store_regained" }
>;

/** Dependencies of the sink. */
export type ServerSinkOptions = Readonly<{
  clock: Clock;
  directory: ServerDirectory;
  decode: (id: string, value: Buffer) => Result<ServerEntry, unknown>;
  /** A server that left gets no new work later than this after the box has received the change. */
  leavingWithin: Ms;
  /** Called after the whole list has been applied. */
  onListRead: () => void;
  onEvent: (event: ServerListEvent) => void;
}>;

/** Creates the sink for a follower of the servers' table. */
export const createServerSink = (options: ServerSinkOptions): FollowerSink => {
  const { clock, directory, decode, leavingWithin, onEvent } = options;
  const markGone = (id: ServerId) => directory.mark(id, "entry_gone", clock.monotonic());
  const lapsed = createLapsedEntries({
    clock,
    returnWithin: RETURN_WITHIN_MS,
    maxWait: Math.max(0, leavingWithin - LEAVING_MARGIN_MS) as Ms,
    onGone: markGone,
  });

  /** Revisions of the rows that can't be used, so that each change of one is reported once. */
  const unreadable = new Map<string, StoreRevision>();
  const reportUnreadable = ({ key, revision }: StoredRow, failure: unknown) => {
    const reported = unreadable.get(key);
    if (reported && compareRevisions(reported, revision) === 0) return;
    unreadable.set(key, revision);
    onEvent({ kind: "unreadable", server: key, failure });
  };
  const decodeRow = (row: StoredRow): ServerEntry | undefined => {
    const decoded = decode(row.key, row.value);
    if (decoded.ok) {
      unreadable.delete(row.key);
      return decoded.val;
    }
    reportUnreadable(row, decoded.val);
    directory.markUnusable(row.key as ServerName);
    return undefined;
  };

  const putRow = (row: StoredRow) => {
    const entry = decodeRow(row);
    if (!entry) return;
    lapsed.drop(entry.id);
    directory.put(entry, clock.monotonic());
  };
  const handleMissing = (id: ServerId) => {
    if (!lapsed.add(id)) markGone(id);
  };
  const handleGoneRow = (key: string) => {
    unreadable.delete(key);
    for (const { entry } of directory.listStarts(key as ServerName))
      handleMissing(entry.id);
  };

  let era: number | undefined;
  const handleEra = (revision: StoreRevision) => {
    // Entries that are missing in a store restored from a copy are handled as lapsed.
    if (era !== undefined && era !== revision.era) lapsed.onStoreBack();
    era = revision.era;
  };

  return {
    onWhole: (rows, _asOf, revision) => {
      handleEra(revision);
      const listed = new Set(rows.map((row) => row.key));
      for (const key of unreadable.keys()) if (!listed.has(key)) unreadable.delete(key);
      for (const { entry } of directory.list())
        if (!listed.has(entry.name)) handleMissing(entry.id);
      try {
        runEach(rows, putRow);
      } finally {
        options.onListRead();
      }
    },
    onChanges: (changes) => {
      runEach(changes, (change) => {
        if (change.kind === "gone") handleGoneRow(change.key);
        else putRow(change.row);
      });
      directory.dropForgotten(clock.monotonic());
    },
    onFailure: (failure, failuresInARow) => {
      if (failuresInARow === 1) onEvent({ kind: "store_lost", failure });
    },
    onRegained: () => {
      lapsed.onStoreBack();
      onEvent({ kind: "store_regained" });
    },
  };
};
