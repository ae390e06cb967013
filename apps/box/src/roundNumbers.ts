/** Rounds the numbers of log lines. */

/**
 * Rounds numbers to three decimals: enough to distinguish loads, and whole microseconds for
 * times in ms.
 */
export const roundNumbers = (inputs: object): Readonly<Record<string, unknown>> =>
  Object.fromEntries(
    Object.entries(inputs).map(([name, value]: [string, unknown]) => [
      name,
      typeof value === "number" ? Math.round(value * 1000) / 1000 : value,
    ]),
  );
