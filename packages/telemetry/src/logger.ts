/** A pino logger that writes JSON, or readable lines for a terminal. Secrets and prompts are not logged. */
import { pino, type Logger as PinoLogger } from "pino";
import pretty from "pino-pretty";

/** Lowest severity that is logged. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** The logger of a process. */
export type Logger = PinoLogger;

/** Fields that are masked in case they are logged by mistake. */
const SECRET_FIELDS = [
  "authorization",
  "*.authorization",
  "key",
  "*.key",
  "prompt",
  "*.prompt",
];

/** Options of the logger. */
export type LoggerOptions = Readonly<{
  level: LogLevel;
  /** `json` for tools, `pretty` for people. */
  format: "json" | "pretty";
  /** Fields that are added to every line. */
  base: Readonly<Record<string, string>>;
}>;

/** Creates the logger; it writes to standard error. */
export const createLogger = (options: LoggerOptions): Logger => {
  const settings = {
    level: options.level,
    base: options.base,
    redact: { paths: SECRET_FIELDS, censor: "(hidden)" },
  };
  // NOTE: pino's transports run in a worker thread, but this process must be single-threaded, so
  // pino-pretty is used as a stream in the same thread.
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
