/** What counts of servers' entries and of the operators' rows when the store comes back from a copy. */
import type { DataHallName, Ms, Result } from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import type { FleetConfiguration } from "@stairgauge/routing";
import type { RestoreRules, StoredRow } from "@stairgauge/storefeed";

/** After this time the store has dropped the copied entry of a server that no longer writes. */
const LAPSED_AFTER_MS = 6_000 as Ms;

/** A closed data hall whose row is lost stays closed for this long, unless an operator writes or drops the row before. */
const HALL_KEPT_MS = 10_000 as Ms;

/** How servers' entries are decoded. */
export type ServerRulesOptions = Readonly<{
  decode: (id: string, value: Buffer) => Result<ServerEntry, unknown>;
}>;

/** Whether an entry is of a state that a server had before the one known. */
const isEarlierState = (entry: ServerEntry, known: ServerEntry): boolean => {
  const startedAt = entry.startedAt ?? -Infinity;
  const knownStart = known.startedAt ?? -Infinity;
  if (startedAt !== knownStart) return startedAt < knownStart;
  return known.isLeaving && !entry.isLeaving;
};

/** Creates the rules of the servers' table. */
export const createServerRestoreRules = ({
  decode,
}: ServerRulesOptions): RestoreRules => ({
  isUndone: (known, copied) => {
    const before = decode(known.key, known.value);
    const after = decode(copied.key, copied.value);
    return before.ok && after.ok && isEarlierState(after.val, before.val);
  },
  // The list of servers itself waits for entries that are missing after the store was away.
  resolveMissing: () => ({ kind: "drop" }),
  // The copied entry of a server that has ended looks like that of one that lives.
  resolveDropped: () => ({ kind: "take_after", duration: LAPSED_AFTER_MS }),
});

/** How the operators' rows are told apart and decoded. */
export type OperatorRulesOptions = Readonly<{
  /** Key of the row that holds the newest configuration. */
  key: string;
  decode: (value: Buffer) => Result<FleetConfiguration, unknown>;
  decodeHall: (key: string) => DataHallName | undefined;
}>;

/** Creates the rules of the operators' table. */
export const createOperatorRestoreRules = (
  options: OperatorRulesOptions,
): RestoreRules => {
  const { key, decode, decodeHall } = options;
  const decodeVersion = ({ value }: StoredRow) => {
    const decoded = decode(value);
    return decoded.ok ? decoded.val.version : undefined;
  };

  return {
    isUndone: (known, copied) => {
      if (copied.key !== key) return false;
      const before = decodeVersion(known);
      const after = decodeVersion(copied);
      // Operators number configurations themselves, over all eras.
      return before !== undefined && after !== undefined && after < before;
    },
    resolveMissing: (row) => {
      if (row.key === key) return { kind: "keep" };
      if (decodeHall(row.key) === undefined) return { kind: "drop" };
      return { kind: "keep_for", duration: HALL_KEPT_MS };
    },
    // A hall that was opened is closed again until its row is dropped again: nothing is sent where it may not be.
    resolveDropped: () => ({ kind: "take" }),
  };
};
