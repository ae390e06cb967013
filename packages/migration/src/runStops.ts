/**
 * Which runs this box has asked to be stopped, and whether that was carried out. The connection of a stopped run ends
 * without an end of its stream, so that only this tells it from a run that has ended.
 */
import { assertNever } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { ActiveRun, RunStop } from "@stairgauge/forwarding";
import type { CopyAnswer } from "./types.js";

/** The stops that were asked for. */
export type RunStops = Readonly<{
  /** Records that the server is asked to stop the run. */
  record: (run: ActiveRun, server: BackendServer, answer: Promise<CopyAnswer>) => void;
  /** Resolves once the answer to all stops of the run at its current server is known. */
  find: (run: ActiveRun) => Promise<RunStop>;
  /** Forgets the stops of a run that has ended or goes on. */
  drop: (run: ActiveRun) => void;
}>;

type RecordedStop = Readonly<{ server: ServerId; outcome: Promise<RunStop> }>;

/** Classifies the answer of an engine that was asked to stop a run. */
const classifyStop = (answer: CopyAnswer): RunStop => {
  switch (answer.kind) {
    case "copied":
      return "stopped";
    case "no_room":
      return answer.handle === undefined ? "unknown" : "stopped";
    case "no_such_run":
    case "under_way":
      return "none";
    case "no_answer":
      return "unknown";
    default:
      return assertNever(answer);
  }
};

/** A stop whose answer was lost may have been carried out, whatever a later one says of the run. */
const combineStops = (before: RunStop, latest: RunStop): RunStop => {
  if (before === "stopped" || latest === "stopped") return "stopped";
  return before === "unknown" ? before : latest;
};

/** Creates the record without a stop. */
export const createRunStops = (): RunStops => {
  const stops = new Map<ActiveRun, RecordedStop>();

  const find = async (run: ActiveRun): Promise<RunStop> => {
    const stop = stops.get(run);
    return stop?.server === run.getServer().entry.id ? stop.outcome : "none";
  };
  return {
    record: (run, { entry }, answer) => {
      const before = stops.get(run);
      const earlierOutcome: RunStop | Promise<RunStop> =
        before?.server === entry.id ? before.outcome : "none";
      const outcome = Promise.all([earlierOutcome, answer]).then(([earlier, latest]) =>
        combineStops(earlier, classifyStop(latest)),
      );
      stops.set(run, { server: entry.id, outcome });
    },
    find,
    drop: (run) => void stops.delete(run),
  };
};
