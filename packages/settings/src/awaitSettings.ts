/** Reads the settings of a box that starts, and waits for those that are being written. */
import { readFileSync } from "node:fs";
import {
  Err,
  Ok,
  START_LIMIT_MS,
  type Clock,
  type Ms,
  type Result,
} from "@stairgauge/common";
import { formatSettingsFailure, type SettingsFailure } from "./parseSettings.js";

const RETRY_MS = 100 as Ms;

/** A text that ends within a line, so maybe within a value, counts as whole once it has not changed for this long. */
const UNCHANGED_MS = 1_000;

/** Settings, and the text that they were read from. */
export type ReadSettings<Settings> = Readonly<{ settings: Settings; text: string }>;

export type AwaitSettingsOptions<Settings> = Readonly<{
  path: string;
  parse: (text: string) => Result<Settings, SettingsFailure>;
  clock: Pick<Clock, "monotonic" | "setTimer">;
  /** Called with what is wrong, once for each reason. */
  onWaiting: (reason: string) => void;
  /** Called after the start limit, with what is wrong; ends the process. */
  onFailed: (reason: string) => never;
}>;

/** Resolves, in the same turn of the event loop if they are there, to the settings of the file. */
export const awaitSettings = async <Settings>(
  options: AwaitSettingsOptions<Settings>,
): Promise<ReadSettings<Settings>> => {
  const { path, parse, clock, onWaiting, onFailed } = options;
  const begunAt = clock.monotonic();
  let lastText: string | undefined;
  let textSince = begunAt;
  let lastReason: string | undefined;

  const isUnchanged = (text: string) => {
    if (text !== lastText) textSince = clock.monotonic();
    lastText = text;
    return clock.monotonic() - textSince >= UNCHANGED_MS;
  };
  const read = (): Result<ReadSettings<Settings>, string> => {
    let text: string;
    try {
      text = readFileSync(path, "utf8");
    } catch (error) {
      return Err(error instanceof Error ? error.message : "unreadable");
    }
    const parsed = parse(text);
    if (parsed.err) return Err(`settings ${path}\n${formatSettingsFailure(parsed.val)}`);
    if (text.endsWith("\n") || isUnchanged(text))
      return Ok({ settings: parsed.val, text });
    return Err(`settings ${path}\nthe last line has no end`);
  };

  for (;;) {
    const found = read();
    if (found.ok) return found.val;
    const reason = found.val;
    if (clock.monotonic() - begunAt >= START_LIMIT_MS) onFailed(reason);
    if (reason !== lastReason) onWaiting(reason);
    lastReason = reason;
    await new Promise<void>((resolve) => clock.setTimer(RETRY_MS, resolve));
  }
};
