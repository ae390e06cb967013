/**
 * Command `stairgauged`: runs one box on a platform that keeps configuration and server list.
 * All boxes run the same program.
 */
import { readFileSync } from "node:fs";
import { createSystemClock, type Clock } from "@stairgauge/common";
import {
  formatSettingsFailure,
  parseBoxSettings,
  type BoxSettings,
} from "@stairgauge/settings";
import { createDecisionLog } from "@stairgauge/telemetry";
import { createBox } from "./createBox.js";
import { IGNORED_SIGNALS, STOP_SIGNALS } from "./signals.js";
import { watchSettings } from "./watchSettings.js";

/**
 * Environment variable with the path of the settings file; the command line takes precedence.
 */
const SETTINGS_VARIABLE = "STAIRGAUGE_BOOT";
const DEFAULT_PATH = "/etc/stairgauge/settings.conf";
const EXIT_STOPPED = 0;
const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

const exitWith = (code: number, message: string): never => {
  process.stderr.write(`stairgauged: ${message}\n`);
  process.exit(code);
};

const findPath = (): string => {
  const at = process.argv.indexOf("--settings");
  const named = at < 0 ? undefined : process.argv[at + 1];
  return named ?? process.env[SETTINGS_VARIABLE] ?? DEFAULT_PATH;
};

const readSettings = (path: string): BoxSettings => {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    return exitWith(EXIT_USAGE, error instanceof Error ? error.message : "unreadable");
  }
  const parsed = parseBoxSettings(text);
  if (parsed.ok) return parsed.val;
  return exitWith(EXIT_USAGE, `settings ${path}\n${formatSettingsFailure(parsed.val)}`);
};

/** Facts about the process's start, logged at the start. */
export type StartFacts = Readonly<{
  /** Whether the code cache that the build stored was used. */
  keptCode: "used" | "refused" | "absent";
}>;

/** Runs a box until SIGTERM or SIGINT. */
export const runBox = async (facts: StartFacts): Promise<void> => {
  const path = findPath();
  const settings = readSettings(path);
  const clock: Clock = createSystemClock((duration) =>
    log.writeWarning("clock_gap", { gapMs: Math.round(duration) }),
  );
  const log = createDecisionLog({
    level: settings.log.level,
    clock,
    linesPerSecond: settings.log.linesPerSecond,
    base: { box: settings.box },
  });
  const box = createBox({ settings, clock, log });
  const endProcess = (code: number) => {
    log.flush();
    process.exit(code);
  };

  const reportError = (error: unknown) => {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    log.writeWarning("unexpected_error", { error: text });
  };
  const endInOrder = async () => {
    try {
      await box.stop();
      endProcess(EXIT_STOPPED);
    } catch (error) {
      reportError(error);
      endProcess(EXIT_FAILED);
    }
  };

  for (const signal of STOP_SIGNALS) process.on(signal, () => void endInOrder());
  for (const signal of IGNORED_SIGNALS)
    process.on(signal, () => log.writeDecision("signal_ignored", { signal }));
  watchSettings({ path, clock, log, onChanged: box.applySettings });
  process.on("uncaughtException", reportError);
  process.on("unhandledRejection", reportError);
  log.writeNotice("starting", facts);

  try {
    await box.start();
  } catch (error) {
    log.flush();
    exitWith(EXIT_FAILED, error instanceof Error ? error.message : "cannot listen");
  }
};
