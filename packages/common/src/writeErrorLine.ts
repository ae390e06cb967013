/** Lines of a daemon that has no log yet. */
import { writeSync } from "node:fs";

const STANDARD_ERROR = 2;

/** Writes a line of `stairgauged` to standard error before it returns, if anybody reads that. */
export const writeErrorLine = (message: string): void => {
  try {
    writeSync(STANDARD_ERROR, `stairgauged: ${message}\n`);
  } catch {
    // NOTE: nobody reads standard error; there is no other place to report this.
  }
};
