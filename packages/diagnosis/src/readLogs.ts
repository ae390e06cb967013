/** Reads log files line by line; a faulty line is counted, and the rest is used. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { Err, Ok, type Result } from "@stairgauge/common";
import { parseLogLine } from "./parseLogLine.js";
import type { LineFault, LogLine } from "./types.js";

/** How many lines could not be used, by fault. */
export type FaultCounts = Readonly<Record<LineFault, number>>;

/** What the files hold. */
export type LogSet = Readonly<{ lines: readonly LogLine[]; faults: FaultCounts }>;

/** A file that cannot be read at all. */
export type LogFailure = Readonly<{
  kind: "unreadable_file";
  path: string;
  detail: string;
}>;

const STANDARD_INPUT = "-";

const openSource = (path: string) =>
  path === STANDARD_INPUT ? process.stdin : createReadStream(path, "utf8");

/** Reads the files in the order given; `-` is standard input. */
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
