/** The program of `stairgauged`, the daemon of an entry box. */
import { readFileSync } from "node:fs";
import { command, flag, option, runSafely, string } from "cmd-ts";
import {
  createSystemClock,
  IGNORED_SIGNALS,
  RELOAD_SIGNAL,
  writeErrorLine,
} from "@stairgauge/common";
import { awaitSettings, formatSettingsFailure } from "@stairgauge/settings";
import { createLogger } from "@stairgauge/telemetry";
import { EXIT_FAILED, EXIT_OK, EXIT_USAGE, VERSION } from "./constants.js";
import { createDaemon } from "./createDaemon.js";
import { loadSettings } from "./loadSettings.js";
import { stopOnSignals } from "./stopOnSignals.js";

const exitWithUsage = (message: string): never => {
  writeErrorLine(message);
  process.exit(EXIT_USAGE);
};

const readTextOrExit = (path: string): string => {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    const detail = error instanceof Error ? error.message : "unreadable";
    return exitWithUsage(`settings: ${detail}`);
  }
};

const checkSettings = (path: string): never => {
  const loaded = loadSettings(readTextOrExit(path));
  if (loaded.err)
    return exitWithUsage(`settings ${path}\n${formatSettingsFailure(loaded.val)}`);
  process.stdout.write(`${path}: settings are valid\n`);
  process.exit(EXIT_OK);
};

const serve = async (path: string) => {
  let isStopping = false;
  let stop = () => Promise.resolve();
  let reportIgnored = (signal: string) => writeErrorLine(`signal ignored: ${signal}`);
  stopOnSignals(() => {
    isStopping = true;
    return stop();
  });
  for (const signal of [RELOAD_SIGNAL, ...IGNORED_SIGNALS])
    process.on(signal, () => reportIgnored(signal));
  const loaded = await awaitSettings({
    path,
    parse: loadSettings,
    clock: createSystemClock(),
    onWaiting: (reason) => writeErrorLine(`waiting for the settings: ${reason}`),
    onFailed: exitWithUsage,
  });
  const { settings, tls } = loaded.settings;
  const { level, format } = settings.log;
  const logger = createLogger({ level, format, base: { box: settings.box } });
  reportIgnored = (signal) => logger.info({ signal }, "signal ignored");
  const daemon = createDaemon({ settings, logger, tls });
  stop = daemon.stop;
  try {
    const ports = await daemon.start();
    logger.info({ ...ports, version: VERSION }, "listening");
  } catch (error) {
    if (isStopping) return;
    logger.error({ err: error }, "cannot listen");
    // Callers may be served while another port is awaited.
    await daemon.stop();
    process.exit(EXIT_FAILED);
  }
};

const app = command({
  name: "stairgauged",
  description: "The daemon of a stairgauge entry box",
  version: VERSION,
  args: {
    settings: option({
      type: string,
      long: "settings",
      description: "YAML settings file",
    }),
    check: flag({ long: "check", description: "check the settings and exit" }),
  },
  handler: ({ settings: path, check }) => (check ? checkSettings(path) : serve(path)),
});

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") {
  const { message, into, exitCode } = result.error.config;
  (into === "stdout" ? process.stdout : process.stderr).write(`${message}\n`);
  process.exit(exitCode === 0 ? EXIT_OK : EXIT_USAGE);
}
