/** Exit codes and identity of the daemon. */

/** Version of this program. */
export const VERSION = "0.1.0";

/** Exit code after a planned stop. */
export const EXIT_OK = 0;

/** Exit code where the process could not do its work. */
export const EXIT_FAILED = 1;

/** Exit code for wrong arguments or settings. */
export const EXIT_USAGE = 2;
