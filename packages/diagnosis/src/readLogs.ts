/** Reads log files line by line; unusable lines are only counted. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { Err, Ok, type Result } from "@stairgauge/common";
import { parseLogLine } from "./parseLogLine.js";
import type { LineFault, LogLine } from "./types.js";

/** Number of unusable lines by fault. */
export type FaultCounts = Readonly<Record<LineFault, number>>;

/** The lines of all files, and the number of unusable ones. */
export type LogSet = Readonly<{ lines: readonly LogLine[]; faults: FaultCounts }>;

/** A file that could not be read. */
export type LogFailure = Readonly<{
  kind: "unreadable_file";
  path: string;
  detail: string;
}>;

const STANDARD_INPUT = "-";

const openSource = (path: string) =>
  path === STANDARD_INPUT ? process.stdin : createReadStream(path, "utf8");

/** Reads the files in the given order; `-` is standard input. Fails at the first file that cannot be read. */
export const readLogs = async (
  paths: readonly string[],
): Promise<Result<LogSet, LogFailure>> => {
  const lines: LogLine[] = [];
  const faults = { no_object: 0, broken_object: 0, foreign_object: 0 };
  for (const path of paths) {
    try {
      for await (const text of createInterface({ input: openSource(path) })) {
        const parsed = parseLogLine(text);
        if (parsed.ok) lines.push(parsed.val);
        else faults[parsed.val] += 1;
      }
    } catch (error) {
      const detail = error instanceof Error ? error.message : "unreadable";
      return Err({ kind: "unreadable_file", path, detail });
    }
  }
  return Ok({ lines, faults });
};
