/**
 * Keeps the versions of each service in the platform's store, so that a box that has just started knows which versions
 * may have begun a stream. A box reads the rows at its start, and a few boxes write them when the versions change.
 */
import {
  runWithin,
  type Clock,
  type Ms,
  type Result,
  type ServiceName,
  type Timer,
} from "@stairgauge/common";
import type { SoftwareVersion } from "@stairgauge/directory";
import {
  INITIAL_REVISION,
  type StoredRow,
  type StoreFailure,
  type StoreReader,
  type StoreWriteFailure,
  type StoreWriter,
} from "@stairgauge/storefeed";
import { z } from "zod";
import type { VersionHistory, VersionSet } from "./versionHistory.js";

/** Why the rows could not be read or written. */
export type VersionRowsFailure = Readonly<
  StoreFailure | StoreWriteFailure | { kind: "unreadable_versions"; service: string }
>;

/** Dependencies of the rows. */
export type VersionRowsOptions = Readonly<{
  clock: Clock;
  reader: Pick<StoreReader, "readTable">;
  writer: Pick<StoreWriter, "putRow">;
  table: string;
  /** Time limit of one call. */
  limit: Ms;
  history: VersionHistory;
  /** Records the servers that are listed now in the history. */
  observeServers: () => void;
  /** Rank of this box among all; undefined before the list of boxes is read. */
  getRank: () => number | undefined;
  onFailure: (failure: VersionRowsFailure) => void;
}>;

/** The rows, as one box reads and writes them. */
export type VersionRows = Readonly<{
  /** Starts to read the rows, and to check whether they have to be written. */
  start: () => void;
  /** The versions or the list of boxes may have changed. */
  checkSoon: () => void;
  /** Reads the rows again: this box may have missed versions while it had lost the store. */
  reload: () => void;
  /** Resolves once the rows have been read for the first time, or that has failed. */
  awaitFirstRead: () => Promise<unknown>;
  /** Whether the rows have been read, so that the history holds what served before this box started. */
  isLoaded: () => boolean;
  stop: () => void;
}>;

/** Pause between two checks, and before a failed call is repeated. */
const CHECK_MS = 2_000 as Ms;

/** Pause before a check after a change, so that the entries of several servers cost one write. */
const CHANGE_PAUSE_MS = 50 as Ms;

/** Number of boxes that write: each waits one check longer than the one before, and reads first whether it is done. */
const WRITING_BOXES = 3;

/** A row with more versions than this was written by something else. */
const MAX_VERSIONS = 64;

/** A server that states no version is written as null. */
const rowSchema = z.object({
  versions: z.array(z.string().nullable()).max(MAX_VERSIONS),
});

const encodeVersions = (versions: VersionSet): Buffer =>
  Buffer.from(
    JSON.stringify({ versions: [...versions].map((version) => version ?? null).sort() }),
  );

const decodeVersions = ({ value }: Pick<StoredRow, "value">): VersionSet | undefined => {
  try {
    const { versions } = rowSchema.parse(JSON.parse(value.toString("utf8")));
    return new Set(versions.map((version) => (version ?? undefined) as SoftwareVersion));
  } catch {
    return undefined;
  }
};

const isSameSet = (a: VersionSet, b: VersionSet | undefined) =>
  b !== undefined && a.size === b.size && [...a].every((version) => b.has(version));

/** Creates the rows; nothing is read before `start`. */
export const createVersionRows = (options: VersionRowsOptions): VersionRows => {
  const { clock, reader, writer, table, limit, history, getRank, onFailure } = options;
  const { observeServers } = options;
  let stored = new Map<ServiceName, VersionSet>();
  let isLoaded = false;
  let firstRead: Promise<boolean> | undefined;
  let isStopped = false;
  let check: Timer | undefined;
  /** Since when the rows differ from the history; undefined while they don't. */
  let differsSince: Ms | undefined;
  let isChecking = false;
  let isCheckSoon = false;

  const applyRows = (rows: readonly StoredRow[]) => {
    const now = clock.monotonic();
    stored = new Map();
    for (const row of rows) {
      const service = row.key as ServiceName;
      const versions = decodeVersions(row);
      if (versions) {
        stored.set(service, versions);
        history.addEarlier(service, versions, now);
      } else onFailure({ kind: "unreadable_versions", service });
    }
  };
  const load = async (): Promise<boolean> => {
    const read = await runWithin(clock, limit, (signal) =>
      reader.readTable({ table, atLeast: INITIAL_REVISION, signal }),
    );
    if (read.err) {
      onFailure(read.val);
      return false;
    }
    applyRows(read.val.rows);
    isLoaded = true;
    return true;
  };

  const listChanged = () =>
    history
      .listServices()
      .map((service) => ({
        service,
        versions: history.list(service, clock.monotonic()),
      }))
      .filter(
        ({ service, versions }) =>
          versions.size > 0 && !isSameSet(versions, stored.get(service)),
      );
  const writeChanged = async () => {
    for (const { service, versions } of listChanged()) {
      const row = { table, key: service, value: encodeVersions(versions) };
      const written: Result<void, StoreWriteFailure> = await runWithin(
        clock,
        limit,
        (signal) => writer.putRow({ ...row, signal }),
      );
      if (written.err) {
        onFailure(written.val);
        return;
      }
      stored.set(service, versions);
    }
  };
  /** The box of rank 0 writes at once; the next ones step in, one check later each, if it has not. */
  const checkRows = async () => {
    if (!isLoaded) {
      const read = load();
      firstRead ??= read;
      if (!(await read)) return;
    }
    observeServers();
    if (listChanged().length === 0) {
      differsSince = undefined;
      return;
    }
    differsSince ??= clock.monotonic();
    const rank = getRank() ?? WRITING_BOXES;
    const isDue = clock.monotonic() - differsSince >= rank * CHECK_MS;
    if (rank >= WRITING_BOXES || !isDue) return;
    if (rank > 0 && !(await load())) return;
    await writeChanged();
  };
  const run = async () => {
    isChecking = true;
    isCheckSoon = false;
    try {
      await checkRows();
    } finally {
      isChecking = false;
      schedule(CHECK_MS);
    }
  };
  const schedule = (pause: Ms) => {
    check?.cancel();
    if (!isStopped) check = clock.setTimer(pause, () => void run());
  };

  return {
    start: () => void run(),
    checkSoon: () => {
      // A check that is under way is followed by another one anyway.
      if (!isLoaded || isChecking || isCheckSoon) return;
      isCheckSoon = true;
      schedule(CHANGE_PAUSE_MS);
    },
    reload: () => {
      if (isLoaded) void load();
    },
    awaitFirstRead: () => firstRead ?? Promise.resolve(),
    isLoaded: () => isLoaded,
    stop: () => {
      isStopped = true;
      check?.cancel();
    },
  };
};
