/** Exit codes of the command line; docs/operators/command-line.md lists them. */

/** The command did what it says. */
export const EXIT_OK = 0;

/** The command failed for a reason that it names. */
export const EXIT_FAILED = 1;

/** Wrong arguments, settings or files. */
export const EXIT_USAGE = 2;

/** Another operator's roll-out came first. */
export const EXIT_OVERTAKEN = 3;

/** The platform's store gave no answer. */
export const EXIT_UNAVAILABLE = 4;

/** The step may or may not have taken effect. */
export const EXIT_UNKNOWN = 5;
