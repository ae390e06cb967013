/** Keeps the data halls that operators have closed to new work, by following the operators' table. */
import type { DataHallName } from "@stairgauge/common";
import type { FollowerSink, RowChange } from "@stairgauge/storefeed";

/** A data hall whose servers get no new work any more, or get it again. */
export type HallEvent = Readonly<
  { kind: "closed"; hall: DataHallName } | { kind: "opened"; hall: DataHallName }
>;

/** What following needs. */
export type ClosedHallsSinkOptions = Readonly<{
  /** The hall that a row of the table closes by being there; undefined for all other rows. */
  decodeKey: (key: string) => DataHallName | undefined;
  /** Hears all halls that are closed now, with what has changed. */
  onChange: (closed: ReadonlySet<DataHallName>, events: readonly HallEvent[]) => void;
}>;

/** Creates the sink for a follower of the operators' table; a row's value says nothing, its being there does. */
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
    closed = halls;
    if (events.length > 0) onChange(halls, events);
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

/** Hands what a follower reads to a sink, and the rows to a second one first. */
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
