/** Keeps the directory of backend servers by following their table. */
import type { Clock, Result } from "@stairgauge/common";
import type { ServerDirectory, ServerEntry, ServerId } from "@stairgauge/directory";
import type { FollowerSink, StoredRow, StoreFailure } from "@stairgauge/storefeed";

/** What is told while following. */
export type ServerListEvent = Readonly<
  | { kind: "unreadable"; server: string; failure: unknown }
  | { kind: "store_lost"; failure: StoreFailure }
  | { kind: "store_regained" }
>;

/** What following needs. */
export type ServerSinkOptions = Readonly<{
  clock: Clock;
  directory: ServerDirectory;
  decode: (id: string, value: Buffer) => Result<ServerEntry, unknown>;
  onEvent: (event: ServerListEvent) => void;
}>;

/** Creates the sink for a follower of the servers' table. */
export const createServerSink = (options: ServerSinkOptions): FollowerSink => {
  const { clock, directory, decode, onEvent } = options;

  const decodeRow = (row: StoredRow): ServerEntry | undefined => {
    const decoded = decode(row.key, row.value);
    if (decoded.ok) return decoded.val;
    onEvent({ kind: "unreadable", server: row.key, failure: decoded.val });
    return undefined;
  };

  return {
    onWhole: (rows) => {
      const entries = rows.map(decodeRow).filter((entry) => entry !== undefined);
      directory.replaceAll(entries, clock.monotonic());
    },
    onChanges: (changes) => {
      const now = clock.monotonic();
      for (const change of changes) {
        if (change.kind === "gone") {
          directory.mark(change.key as ServerId, "entry_gone", now);
          continue;
        }
        const entry = decodeRow(change.row);
        if (entry) directory.put(entry, now);
      }
      directory.dropForgotten(now);
    },
    onFailure: (failure, failuresInARow) => {
      if (failuresInARow === 1) onEvent({ kind: "store_lost", failure });
    },
    onRegained: () => onEvent({ kind: "store_regained" }),
  };
};
