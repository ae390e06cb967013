#!/usr/bin/env node
/** `stairgauged`: the daemon of an entry box. */
import { readFileSync } from "node:fs";
import { command, flag, option, runSafely, string } from "cmd-ts";
import {
  formatSettingsFailure,
  parseSettings,
  type Settings,
} from "@stairgauge/settings";
import { createLogger } from "@stairgauge/telemetry";
import { EXIT_FAILED, EXIT_OK, EXIT_USAGE, VERSION } from "./constants.js";
import { createDaemon } from "./createDaemon.js";
import { stopOnSignals } from "./stopOnSignals.js";

const exitWithUsage = (message: string): never => {
  process.stderr.write(`stairgauged: ${message}\n`);
  process.exit(EXIT_USAGE);
};

const readFileOrExit = (path: string, what: string): string => {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    const detail = error instanceof Error ? error.message : "unreadable";
    return exitWithUsage(`${what}: ${detail}`);
  }
};

const readSettings = (path: string): Settings => {
  const parsed = parseSettings(readFileOrExit(path, "settings"));
  if (parsed.ok) return parsed.val;
  return exitWithUsage(`settings ${path}\n${formatSettingsFailure(parsed.val)}`);
};

const readTls = (settings: Settings) =>
  settings.tls && {
    cert: readFileOrExit(settings.tls.certFile, "tls.certFile"),
    key: readFileOrExit(settings.tls.keyFile, "tls.keyFile"),
  };

const serve = async (settings: Settings) => {
  const { level, format } = settings.log;
  const logger = createLogger({ level, format, base: { box: settings.box } });
  const daemon = createDaemon({ settings, logger, tls: readTls(settings) });
  let isStopping = false;
  stopOnSignals(() => {
    isStopping = true;
    return daemon.stop();
  });
  try {
    const ports = await daemon.start();
    logger.info({ ...ports, version: VERSION }, "listening");
  } catch (error) {
    if (isStopping) return;
    logger.error({ err: error }, "cannot listen");
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
  handler: ({ settings: path, check }) => {
    const settings = readSettings(path);
    if (!check) return serve(settings);
    readTls(settings);
    process.stdout.write(`${path}: settings are valid\n`);
    process.exit(EXIT_OK);
  },
});

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") {
  const { message, into, exitCode } = result.error.config;
  (into === "stdout" ? process.stdout : process.stderr).write(`${message}\n`);
  process.exit(exitCode === 0 ? EXIT_OK : EXIT_USAGE);
}
