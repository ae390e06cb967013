/**
 * Command `stairgauged`: runs one box on a platform that keeps configuration and server list.
 * All boxes run the same program.
 */
import {
  createSystemClock,
  IGNORED_SIGNALS,
  RELOAD_SIGNAL,
  STOP_SIGNALS,
  writeErrorLine,
  type Clock,
} from "@stairgauge/common";
import { awaitSettings, parseBoxSettings } from "@stairgauge/settings";
import { createDecisionLog, type DecisionLog } from "@stairgauge/telemetry";
import { createBox, type Box } from "./createBox.js";
import { createUnexpectedErrorReporter } from "./reportUnexpected.js";
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
  writeErrorLine(message);
  process.exit(code);
};
const toText = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const findPath = (): string => {
  const at = process.argv.indexOf("--settings");
  const named = at < 0 ? undefined : process.argv[at + 1];
  if (at >= 0 && !named) return exitWith(EXIT_USAGE, "--settings needs a path");
  return named ?? process.env[SETTINGS_VARIABLE] ?? DEFAULT_PATH;
};

/** Facts about the process's start, logged at the start. */
export type StartFacts = Readonly<{
  /** Whether the code cache that the build stored was used. */
  keptCode: "used" | "refused" | "absent";
}>;

/** What signals and errors that nothing else handles act on. */
type ProcessActions = Readonly<{
  stop: () => Promise<void>;
  endProcess: (code: number) => void;
  reportError: (error: unknown) => void;
  reportIgnored: (signal: string) => void;
}>;

/** Before the settings are read there is neither a box to stop nor a log. */
const ACTIONS_WITHOUT_BOX: ProcessActions = {
  stop: () => Promise.resolve(),
  endProcess: (code) => process.exit(code),
  reportError: (error) => writeErrorLine(toText(error)),
  reportIgnored: (signal) => writeErrorLine(`signal ignored: ${signal}`),
};

const createActions = (box: Pick<Box, "stop">, log: DecisionLog): ProcessActions => {
  const reportUnexpected = createUnexpectedErrorReporter(log);
  return {
    stop: box.stop,
    endProcess: (code) => {
      log.flush();
      process.exit(code);
    },
    reportError: (error) => reportUnexpected(error),
    reportIgnored: (signal) => log.writeDecision("signal_ignored", { signal }),
  };
};

/** Stops the box, if there is one, and ends the process, also if the stop fails. */
const endInOrder = async (
  { stop, endProcess, reportError }: ProcessActions,
  code: number,
): Promise<void> => {
  try {
    await stop();
    endProcess(code);
  } catch (error) {
    reportError(error);
    endProcess(EXIT_FAILED);
  }
};

/** Runs a box until SIGTERM or SIGINT. */
export const runBox = async (facts: StartFacts): Promise<void> => {
  const path = findPath();
  let actions = ACTIONS_WITHOUT_BOX;
  let isStopping = false;

  const handleStop = () => {
    isStopping = true;
    void endInOrder(actions, EXIT_STOPPED);
  };
  for (const signal of STOP_SIGNALS) process.on(signal, handleStop);
  for (const signal of IGNORED_SIGNALS)
    process.on(signal, () => actions.reportIgnored(signal));
  // Settings that are awaited are read again without it.
  process.on(RELOAD_SIGNAL, () => undefined);

  const { settings, text } = await awaitSettings({
    path,
    parse: parseBoxSettings,
    clock: createSystemClock(),
    onWaiting: (reason) => writeErrorLine(`waiting for the settings: ${reason}`),
    onFailed: (reason) => exitWith(EXIT_USAGE, reason),
  });
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
  const boxActions = createActions(box, log);
  actions = boxActions;
  watchSettings({ path, text, clock, log, onChanged: box.applySettings });
  process.on("uncaughtException", (error) => boxActions.reportError(error));
  process.on("unhandledRejection", (error) => boxActions.reportError(error));
  log.writeNotice("starting", facts);

  try {
    await box.start();
  } catch (error) {
    if (isStopping) return;
    writeErrorLine(toText(error));
    await endInOrder(actions, EXIT_FAILED);
  }
};
