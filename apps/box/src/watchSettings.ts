/** Reloads the settings after SIGHUP, or when the file has changed without one. */
import { readFileSync, statSync } from "node:fs";
import { RELOAD_SIGNAL, type Clock, type Ms } from "@stairgauge/common";
import {
  formatSettingsFailure,
  parseBoxSettings,
  type BoxSettings,
} from "@stairgauge/settings";
import type { DecisionLog } from "@stairgauge/telemetry";

/** Interval of checks for a changed file; a change takes effect within seconds. */
const CHECK_INTERVAL_MS = 1_000 as Ms;

export type WatchOptions = Readonly<{
  path: string;
  /** The file's text that is in force. */
  text: string;
  clock: Clock;
  log: DecisionLog;
  onChanged: (settings: BoxSettings) => void;
}>;

/** Watches the file. Invalid settings are logged, and the active ones stay. */
export const watchSettings = (options: WatchOptions): void => {
  const { path, clock, log, onChanged } = options;
  let lastText = options.text;
  // The first check reads the file, which may have changed since its text was read.
  let lastStamp = "";

  const findStamp = (): string => {
    try {
      const { mtimeMs, size, ino } = statSync(path);
      return `${mtimeMs} ${size} ${ino}`;
    } catch {
      return lastStamp;
    }
  };
  const readText = (): string | undefined => {
    try {
      return readFileSync(path, "utf8");
    } catch (error) {
      log.writeWarning("settings_unreadable", { detail: String(error) });
      return undefined;
    }
  };
  const applyChange = () => {
    const text = readText();
    if (text === undefined || text === lastText) return;
    lastText = text;
    const parsed = parseBoxSettings(text);
    if (parsed.err) {
      log.writeWarning("settings_refused", { faults: formatSettingsFailure(parsed.val) });
      return;
    }
    log.writeNotice("settings_reloaded", {});
    onChanged(parsed.val);
  };
  const check = () => {
    clock.setTimer(CHECK_INTERVAL_MS, check);
    const stamp = findStamp();
    if (stamp !== lastStamp) {
      lastStamp = stamp;
      applyChange();
    }
  };

  process.on(RELOAD_SIGNAL, applyChange);
  clock.setTimer(CHECK_INTERVAL_MS, check);
};
