/**
 * Keeps the set of data halls that operators have closed to new work, by following the operators'
 * table.
 */
import type { DataHallName } from "@stairgauge/common";
import type { FollowerSink, RowChange } from "@stairgauge/storefeed";

/** A data hall was closed, so that its servers get no new work, or was opened again. */
export type HallEvent = Readonly<
  { kind: "closed"; hall: DataHallName } | { kind: "opened"; hall: DataHallName }
>;

/** Dependencies of the sink. */
export type ClosedHallsSinkOptions = Readonly<{
  /**
   * Returns the hall that is closed by the presence of a row with this key; undefined for all other
   * rows.
   */
  decodeKey: (key: string) => DataHallName | undefined;
  /** Called with all halls that are closed now, and with the changes. */
  onChange: (closed: ReadonlySet<DataHallName>, events: readonly HallEvent[]) => void;
}>;

/**
 * Creates the sink for a follower of the operators' table. Only the presence of a row counts, not
 * its value.
 */
export const createClosedHallsSink = (
  options: ClosedHallsSinkOptions,
): Pick<FollowerSink, "onWhole" | "onChanges"> => {
  const { decodeKey, onChange } = options;
  let closed: ReadonlySet<DataHallName> = new Set();

  const replace = (halls: ReadonlySet<DataHallName>) => {
    const events: readonly HallEvent[] = [
      ...[...halls]
        .filter((hall) => !closed.has(hall))
        .map((hall) => ({ kind: "closed", hall }) as const),
      ...[...closed]
        .filter((hall) => !halls.has(hall))
        .map((hall) => ({ kind: "opened", hall }) as const),
    ];
    if (events.length > 0) onChange(halls, events);
    closed = halls;
  };
  const applyChange = (halls: Set<DataHallName>, change: RowChange) => {
    const hall = decodeKey(change.kind === "put" ? change.row.key : change.key);
    if (hall === undefined) return;
    if (change.kind === "put") halls.add(hall);
    else halls.delete(hall);
  };

  return {
    onWhole: (rows) =>
      replace(
        new Set(
          rows.map(({ key }) => decodeKey(key)).filter((hall) => hall !== undefined),
        ),
      ),
    onChanges: (changes) => {
      const halls = new Set(closed);
      for (const change of changes) applyChange(halls, change);
      replace(halls);
    },
  };
};

/**
 * Passes rows and changes from a follower to two sinks, `first` before `sink`; all other events go
 * to `sink` only.
 */
export const withRowSink = (
  sink: FollowerSink,
  first: Pick<FollowerSink, "onWhole" | "onChanges">,
): FollowerSink => ({
  ...sink,
  onWhole: (rows, asOf, revision) => {
    first.onWhole(rows, asOf, revision);
    sink.onWhole(rows, asOf, revision);
  },
  onChanges: (changes, asOf, revision) => {
    first.onChanges(changes, asOf, revision);
    sink.onChanges(changes, asOf, revision);
  },
});
