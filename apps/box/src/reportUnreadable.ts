/** Logs unreadable signals of servers: each server's text once, until it sends another. */
import type { ServerId } from "@stairgauge/directory";
import type { DecisionLog } from "@stairgauge/telemetry";

/** The unreadable text and the name of its signal. */
export type UnreadableSignal = Readonly<{ sign: string; text: string }>;

/**
 * Maximum number of texts on record. Beyond it all are dropped, and a text may be logged again.
 */
const MAX_TEXTS = 1_024;

/** Creates the reporter. */
export const createUnreadableReporter = (log: Pick<DecisionLog, "writeWarning">) => {
  const lastTexts = new Map<string, string>();

  return (server: ServerId, { sign, text }: UnreadableSignal): void => {
    const key = `${server} ${sign}`;
    if (lastTexts.get(key) === text) return;
    if (lastTexts.size >= MAX_TEXTS) lastTexts.clear();
    lastTexts.set(key, text);
    log.writeWarning("server_sign_unreadable", { server, sign, text });
  };
};
