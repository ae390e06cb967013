/** Logs by pino: JSON lines, or readable ones on a terminal. Secrets and prompts never enter them. */
import { pino, type Logger as PinoLogger } from "pino";
import pretty from "pino-pretty";

/** Severity below which nothing is written. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** The logger that the whole process shares. */
export type Logger = PinoLogger;

/** Fields that are masked wherever a caller hands them to the logger by mistake. */
const SECRET_FIELDS = [
  "authorization",
  "*.authorization",
  "key",
  "*.key",
  "prompt",
  "*.prompt",
];

/** How logs are written. */
export type LoggerOptions = Readonly<{
  level: LogLevel;
  /** JSON for machines, pretty for people. */
  format: "json" | "pretty";
  /** Fields that every line carries. */
  base: Readonly<Record<string, string>>;
}>;

/** Creates the logger; it writes to standard error. */
export const createLogger = (options: LoggerOptions): Logger => {
  const settings = {
    level: options.level,
    base: options.base,
    redact: { paths: SECRET_FIELDS, censor: "(hidden)" },
  };
  // NOTE: pino's transports run in a worker thread, and a process here has one thread, so the
  // pretty form is a plain stream in the same thread.
  const stream =
    options.format === "pretty"
      ? pretty({
          destination: 2,
          sync: true,
          ignore: "pid,hostname,box",
          singleLine: true,
        })
      : pino.destination({ dest: 2, sync: true });
  return pino(settings, stream);
};
