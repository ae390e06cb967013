/** Keeps the active configuration up to date by following the operators' table. */
import type { Ms, Result } from "@stairgauge/common";
import type { ConfigurationHolder, FleetConfiguration } from "@stairgauge/routing";
import type {
  FollowerSink,
  RowChange,
  StoredRow,
  StoreFailure,
} from "@stairgauge/storefeed";

/** Events of following the configuration. */
export type ConfigurationEvent = Readonly<
  | { kind: "adopted"; configuration: FleetConfiguration }
  | { kind: "older_ignored"; version: number; inForce: number }
  | { kind: "unreadable"; failure: unknown }
  | { kind: "store_lost"; failure: StoreFailure }
  | { kind: "store_regained" }
>;

/** Dependencies of the sink. */
export type ConfigurationSinkOptions = Readonly<{
  /** Key of the row that holds the newest configuration. */
  key: string;
  holder: ConfigurationHolder;
  decode: (value: Buffer) => Result<FleetConfiguration, unknown>;
  onEvent: (event: ConfigurationEvent) => void;
}>;

/** Creates the sink for a follower of the operators' table. */
export const createConfigurationSink = (
  options: ConfigurationSinkOptions,
): FollowerSink => {
  const { key, holder, decode, onEvent } = options;
  /** Adopted, but not announced to its end: what was to be done with it threw. */
  let unannounced: FleetConfiguration | undefined;

  const announce = (configuration: FleetConfiguration) => {
    unannounced = configuration;
    onEvent({ kind: "adopted", configuration });
    unannounced = undefined;
  };

  const adopt = (row: StoredRow, asOf: Ms) => {
    const decoded = decode(row.value);
    if (decoded.err) {
      onEvent({ kind: "unreadable", failure: decoded.val });
      return;
    }
    const configuration = decoded.val;
    const outcome = holder.adopt(configuration, asOf);
    switch (outcome.kind) {
      case "adopted":
        announce(configuration);
        return;
      case "older":
        onEvent({
          kind: "older_ignored",
          version: outcome.version,
          inForce: outcome.inForce,
        });
        return;
      case "known":
        if (unannounced) announce(unannounced);
        return;
    }
  };

  const findRow = (changes: readonly RowChange[]): StoredRow | undefined => {
    const puts = changes.filter(
      (change) => change.kind === "put" && change.row.key === key,
    );
    const last = puts.at(-1);
    return last?.kind === "put" ? last.row : undefined;
  };

  return {
    onWhole: (rows, asOf) => {
      const row = rows.find((candidate) => candidate.key === key);
      if (row) adopt(row, asOf);
    },
    onChanges: (changes, asOf) => {
      const row = findRow(changes);
      if (row) adopt(row, asOf);
      else holder.confirm(asOf);
    },
    onFailure: (failure, failuresInARow) => {
      if (failuresInARow === 1) onEvent({ kind: "store_lost", failure });
    },
    onRegained: () => onEvent({ kind: "store_regained" }),
  };
};
