/** Wires together what a box knows of the limits that backend servers name. */
import { toAgingClock, type Clock } from "@stairgauge/common";
import type { ServerAddress, ServerDirectory } from "@stairgauge/directory";
import { createLimitBook, type LimitBook, type LimitSign } from "@stairgauge/limits";
import type { DecisionLog } from "@stairgauge/telemetry";
import { observeLimits } from "./observers.js";

/** What it needs of the rest of a box. */
export type LimitsOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  getDirectory: () => Pick<ServerDirectory, "list">;
}>;

/** The limits that a box knows. */
export type Limits = Readonly<{
  book: LimitBook;
  /** An engine has answered a call that is no request. */
  takeEngineSign: (address: ServerAddress, sign: LimitSign) => void;
}>;

/** Creates the parts; no limit is known. */
export const createLimits = ({ clock, log, getDirectory }: LimitsOptions): Limits => {
  const book = createLimitBook({
    clock: toAgingClock(clock),
    onEvent: observeLimits({ log }),
  });
  const listAt = ({ host, port }: ServerAddress) =>
    getDirectory()
      .list()
      .filter(({ entry }) => entry.address.host === host && entry.address.port === port)
      .filter(({ leaving }) => leaving === undefined);
  return {
    book,
    takeEngineSign: (address, sign) => {
      for (const { entry } of listAt(address)) book.takeSign(entry.id, sign, undefined);
    },
  };
};
