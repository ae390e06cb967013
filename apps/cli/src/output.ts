/** Prints results of commands as text or JSON. */
import type { Result } from "@stairgauge/common";
import { EXIT_OK } from "./exitCodes.js";
import { describeFailure, type CommandFailure } from "./failures.js";

/** One table row: cell values by column title. */
export type Row = Readonly<Record<string, string | number | boolean | undefined>>;

const COLUMN_GAP = 2;

/** Renders a text table; the keys of the first row are the column titles. */
export const renderTable = (rows: readonly Row[]): string => {
  const [first] = rows;
  if (!first) return "(none)\n";
  const columns = Object.keys(first);
  const cells = rows.map((row) => columns.map((column) => String(row[column] ?? "-")));
  const widths = columns.map((column, i) =>
    Math.max(column.length, ...cells.map((row) => row[i]!.length)),
  );
  const renderRow = (row: readonly string[]) =>
    row
      .map((cell, i) => cell.padEnd(widths[i]! + COLUMN_GAP))
      .join("")
      .trimEnd();
  return `${[columns, ...cells].map(renderRow).join("\n")}\n`;
};

/** Result of a command: a value for `--json`, and a text. */
export type Output = Readonly<{ json: unknown; text: string }>;

/** Prints the result of a command and sets the exit code. Failures go to standard error, or as JSON to standard output. */
export const printResult = (
  result: Result<Output, CommandFailure>,
  options: Readonly<{ json: boolean }>,
): void => {
  if (result.ok) {
    const { json, text } = result.val;
    process.stdout.write(options.json ? `${JSON.stringify(json)}\n` : text);
    process.exitCode = EXIT_OK;
    return;
  }
  const { sentence, exitCode } = describeFailure(result.val);
  if (options.json) process.stdout.write(`${JSON.stringify({ failure: result.val })}\n`);
  else process.stderr.write(`stairgauge: ${sentence}\n`);
  process.exitCode = exitCode;
};
