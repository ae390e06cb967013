/** The `explain` and `losses` commands: read log files of boxes and show why requests ended as they did. */
import { writeFileSync } from "node:fs";
import { Err, Ok, type Result } from "@stairgauge/common";
import {
  buildTimeline,
  collectAccounts,
  countLosses,
  describeCause,
  explainRequest,
  readLogs,
  renderLossPlot,
  type Timeline,
  type Explanation,
  type FaultCounts,
} from "@stairgauge/diagnosis";
import type { CommandFailure } from "./failures.js";
import { readText } from "./openSite.js";
import { renderTable, type Output } from "./output.js";

type LogContent = Readonly<{ timeline: Timeline; faults: FaultCounts }>;

const readTimeline = async (
  paths: readonly string[],
): Promise<Result<LogContent, CommandFailure>> => {
  const read = await readLogs(paths);
  if (read.err) return Err(read.val);
  const { lines, faults } = read.val;
  if (lines.length === 0) return Err({ kind: "no_log_lines", faults });
  return Ok({ timeline: buildTimeline(lines), faults });
};

/** Returns one warning line for each kind of log lines that are missing or unusable; empty if there are none. */
const describeGaps = ({ timeline, faults }: LogContent): string => {
  const gaps = [
    [faults.broken_object, "lines are cut off or broken"],
    [faults.foreign_object, "lines are no lines of a box"],
    [timeline.droppedLines, "lines were left out by the boxes, to bound their logs"],
  ] as const;
  return gaps
    .filter(([count]) => count > 0)
    .map(([count, what]) => `warning: ${count} ${what}\n`)
    .join("");
};

const formatInputs = (inputs: Readonly<Record<string, unknown>>): string =>
  Object.entries(inputs)
    .filter(([name, value]) => name !== "level" && value !== undefined)
    .map(([name, value]) =>
      typeof value === "object"
        ? `${name}=${JSON.stringify(value)}`
        : `${name}=${value as string}`,
    )
    .join(" ");

const formatExplanation = ({ request, box, cause, steps }: Explanation): string => {
  const rows = steps.map(
    ({ afterMs, event, isOwn, inputs }) =>
      `${String(afterMs).padStart(8)} ms  ${isOwn ? " " : "~"} ${event.padEnd(22)} ${formatInputs(inputs)}\n`,
  );
  return `${request} at ${box}: ${describeCause(cause)}\n${rows.join("")}`;
};

/** Shows the log lines and the cause of one request. */
export const explainLogs = async (
  request: string,
  paths: readonly string[],
): Promise<Result<Output, CommandFailure>> => {
  const read = await readTimeline(paths);
  if (read.err) return Err(read.val);
  const explanations = explainRequest(read.val.timeline, request);
  if (explanations.length === 0) return Err({ kind: "unknown_request", request });
  const text = explanations.map(formatExplanation).join("\n") + describeGaps(read.val);
  return Ok({ json: { explanations, faults: read.val.faults }, text });
};

/** Options of the `losses` command. */
export type LossOptions = Readonly<{
  /** Paths of log files; `-` is standard input. */
  logs: readonly string[];
  /** Path of the SVG plot to write; undefined for none. */
  plot: string | undefined;
  /** Path of a file with the ids that callers sent, one per line; undefined for none. */
  asked: string | undefined;
  /** What one request of a route is worth, as ROUTE=NUMBER. */
  worth: readonly string[];
}>;

const parseWorth = (
  given: readonly string[],
): Result<ReadonlyMap<string, number>, CommandFailure> => {
  const worth = new Map<string, number>();
  for (const text of given) {
    const at = text.lastIndexOf("=");
    const value = Number(text.slice(at + 1));
    if (at < 1 || !(value >= 0)) return Err({ kind: "wrong_worth", text });
    worth.set(text.slice(0, at), value);
  }
  return Ok(worth);
};

const readAsked = (
  path: string | undefined,
): Result<readonly string[], CommandFailure> =>
  path === undefined
    ? Ok([])
    : readText(path).map((text) => text.split(/\s+/).filter((id) => id !== ""));

const writePlot = (path: string, svg: string): Result<void, CommandFailure> => {
  try {
    return Ok(writeFileSync(path, svg));
  } catch (error) {
    const detail = error instanceof Error ? error.message : "unwritable";
    return Err({ kind: "unwritable_file", path, detail });
  }
};

/** Counts all requests by route and cause, and writes the plot if asked to. */
export const sumUpLosses = async (
  options: LossOptions,
): Promise<Result<Output, CommandFailure>> => {
  const worth = parseWorth(options.worth);
  if (worth.err) return Err(worth.val);
  const asked = readAsked(options.asked);
  if (asked.err) return Err(asked.val);
  const read = await readTimeline(options.logs);
  if (read.err) return Err(read.val);
  const accounts = collectAccounts(read.val.timeline, asked.val);
  const counts = countLosses(accounts, worth.val);
  if (options.plot !== undefined) {
    const written = writePlot(options.plot, await renderLossPlot(accounts));
    if (written.err) return Err(written.val);
  }
  const rows = counts.map(({ route, cause, requests, share, worth: lost, ...worst }) => ({
    route,
    cause,
    requests,
    "% of route": (share * 100).toFixed(1),
    worth: lost.toFixed(0),
    "worst second": `${worst.worstSecond} (${worst.inWorstSecond})`,
  }));
  const text = `${renderTable(rows)}${accounts.length} requests\n${describeGaps(read.val)}`;
  return Ok({ json: { counts, accounts, faults: read.val.faults }, text });
};
