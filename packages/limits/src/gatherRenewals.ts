/**
 * Batches renewals of limits, so that the number of messages that a hub forwards doesn't grow with
 * the number of limited servers.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { LimitRegistry } from "./limitRegistry.js";
import type { LimitUpdate } from "./types.js";

/**
 * Renewals within this time are sent together. It is far shorter than the age at which a limit is
 * dropped.
 */
const GATHER_MS = 500 as Ms;

/** Dependencies of the renewal batching. */
export type RenewalOptions = Readonly<{
  clock: Pick<Clock, "setTimer">;
  getRegistry: () => Pick<LimitRegistry, "makeUpdate">;
  send: (update: LimitUpdate) => void;
}>;

/**
 * Creates a function that collects renewals. They are sent with the values on record when the batch
 * interval ends.
 */
export const createRenewalGatherer = (options: RenewalOptions) => {
  const { clock, getRegistry, send } = options;
  const servers = new Set<ServerId>();
  let timer: Timer | undefined;

  const sendGathered = () => {
    timer = undefined;
    const update = getRegistry().makeUpdate(servers);
    servers.clear();
    if (update.named.length > 0) send(update);
  };

  return (update: LimitUpdate): void => {
    for (const { server } of update.named) servers.add(server);
    timer ??= clock.setTimer(GATHER_MS, sendGathered);
  };
};
