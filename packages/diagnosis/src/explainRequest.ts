/** Explains one request: each decision with its inputs, the relevant events at its box, and the cause. */
import type { Ms } from "@stairgauge/common";
import { classifyCause } from "./classifyCause.js";
import type { Cause, Timeline, RequestLog, TimedLine } from "./types.js";

/** Events at the box up to this long before a request's first line are shown with it. */
const LOOKBACK_MS = 5_000;

/** Events without a request id that can affect the requests at the same box. */
const RELEVANT_EVENTS: ReadonlySet<string> = new Set([
  "starting",
  "stopping",
  "stopped",
  "store_lost",
  "store_regained",
  "configuration_adopted",
  "evacuation",
  "server_leaving",
  "peer_lost",
  "path_lost",
  "path_regained",
  "path_all_lost",
  "path_some_left",
  "path_down",
  "carrier_passed_over",
  "carrier_lost",
  "server_unreachable",
]);

/** One log line of the explanation. */
export type ExplainedStep = Readonly<{
  /** Milliseconds since the request's first line; negative before it. */
  afterMs: Ms;
  event: string;
  /** True for a line of the request itself, false for an event at its box. */
  isOwn: boolean;
  /** All other fields of the log line. */
  inputs: Readonly<Record<string, unknown>>;
}>;

/** The cause and the steps of one request at one box, in order of time. */
export type Explanation = Readonly<{
  request: string;
  box: string;
  cause: Cause;
  steps: readonly ExplainedStep[];
}>;

const collectServers = ({ lines }: RequestLog): ReadonlySet<unknown> =>
  new Set(
    lines.flatMap(({ fields }) => [fields["server"], fields["from"], fields["to"]]),
  );

const collectRelevantEvents = (
  requestLog: RequestLog,
  happenings: readonly TimedLine[],
): readonly TimedLine[] => {
  const servers = collectServers(requestLog);
  const from = requestLog.lines[0]!.timelineAt - LOOKBACK_MS;
  const until = requestLog.lines.at(-1)!.timelineAt;
  return happenings.filter(
    ({ box, event, timelineAt, fields }) =>
      box === requestLog.run.box &&
      RELEVANT_EVENTS.has(event) &&
      timelineAt >= from &&
      timelineAt <= until &&
      (fields["server"] === undefined || servers.has(fields["server"])),
  );
};

/**
 * Returns one explanation for each run of a box that logged the request id: none when no line has it, several when
 * several boxes received it.
 */
export const explainRequest = (
  timeline: Timeline,
  request: string,
): readonly Explanation[] =>
  timeline.requestLogs
    .filter((requestLog) => requestLog.request === request)
    .map((requestLog) => {
      const start = requestLog.lines[0]!.timelineAt;
      const relevant = collectRelevantEvents(requestLog, timeline.happenings);
      const steps = [...relevant, ...requestLog.lines]
        .sort((a, b) => a.timelineAt - b.timelineAt)
        .map(({ timelineAt, event, request: requestId, fields }) => ({
          afterMs: Math.round(timelineAt - start) as Ms,
          event,
          isOwn: requestId !== undefined,
          inputs: fields,
        }));
      return {
        request,
        box: requestLog.run.box,
        cause: classifyCause(requestLog, timeline),
        steps,
      };
    });
