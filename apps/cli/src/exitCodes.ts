/** Exit codes of the command line; docs/operators/command-line.md lists them. */

/** The command succeeded. */
export const EXIT_OK = 0;

/** The command failed; the printed message says why. */
export const EXIT_FAILED = 1;

/** Invalid arguments, settings or files. */
export const EXIT_USAGE = 2;

/** Another operator rolled out a bundle first. */
export const EXIT_OVERTAKEN = 3;

/** The platform's store did not answer; nothing was changed. */
export const EXIT_UNAVAILABLE = 4;

/** The store's answer was lost; the step may or may not have taken effect. */
export const EXIT_UNKNOWN = 5;
