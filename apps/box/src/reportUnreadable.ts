/** Tells what servers say of themselves that can't be read: each server's text once, until it says another. */
import type { ServerId } from "@stairgauge/directory";
import type { DecisionLog } from "@stairgauge/telemetry";

/** What can't be read, under the name of the sign. */
export type UnreadableSign = Readonly<{ sign: string; text: string }>;

/** Servers whose last unreadable text is kept. */
const MAX_KEPT = 1_024;

/** Creates the teller. */
export const createUnreadableReporter = (log: Pick<DecisionLog, "writeWarning">) => {
  const told = new Map<string, string>();

  return (server: ServerId, { sign, text }: UnreadableSign): void => {
    const key = `${server} ${sign}`;
    if (told.get(key) === text) return;
    if (told.size >= MAX_KEPT) told.clear();
    told.set(key, text);
    log.writeWarning("server_sign_unreadable", { server, sign, text });
  };
};
