/** Signals that a daemon handles; all others keep their default action. */

/** They stop it in order. */
export const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** It has it read its settings again. */
export const RELOAD_SIGNAL = "SIGHUP";

/** They ask for nothing that it does, and would end it, or open a debugger. */
export const IGNORED_SIGNALS = [
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGPROF",
  "SIGIO",
  "SIGPWR",
  "SIGSTKFLT",
  "SIGXCPU",
] as const satisfies readonly NodeJS.Signals[];
