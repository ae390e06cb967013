/** Reloads the settings after a SIGHUP, or when the file has changed without one. */
import { readFileSync, statSync } from "node:fs";
import type { Clock, Ms } from "@stairgauge/common";
import {
  formatSettingsFailure,
  parseBoxSettings,
  type BoxSettings,
} from "@stairgauge/settings";
import type { DecisionLog } from "@stairgauge/telemetry";

/** How often the file is looked at; a change of it is in force within seconds. */
const LOOK_INTERVAL_MS = 1_000 as Ms;

/** What watching needs. */
export type WatchOptions = Readonly<{
  path: string;
  clock: Clock;
  log: DecisionLog;
  onChanged: (settings: BoxSettings) => void;
}>;

/** Watches the file; settings with a fault are logged and the ones in force stay. */
export const watchSettings = ({ path, clock, log, onChanged }: WatchOptions): void => {
  let knownText = "";
  let knownStamp = "";

  const findStamp = (): string => {
    try {
      const { mtimeMs, size, ino } = statSync(path);
      return `${mtimeMs} ${size} ${ino}`;
    } catch {
      return knownStamp;
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
    if (text === undefined || text === knownText) return;
    knownText = text;
    const parsed = parseBoxSettings(text);
    if (parsed.err) {
      log.writeWarning("settings_refused", { faults: formatSettingsFailure(parsed.val) });
      return;
    }
    log.writeNotice("settings_reloaded", {});
    onChanged(parsed.val);
  };
  const look = () => {
    const stamp = findStamp();
    if (stamp !== knownStamp) {
      knownStamp = stamp;
      applyChange();
    }
    clock.setTimer(LOOK_INTERVAL_MS, look);
  };

  knownText = readText() ?? "";
  knownStamp = findStamp();
  process.on("SIGHUP", applyChange);
  clock.setTimer(LOOK_INTERVAL_MS, look);
};
