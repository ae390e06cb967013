/** Hands the signs of an answer to their takers. */
import type { ReceivedSignal, ServerSignals, SignalHandlers } from "./types.js";

/** The signs of one answer, whose server it is that gave them, and where. */
export type ReceivedSignals = Omit<ReceivedSignal<ServerSignals>, "signal"> &
  Readonly<{ signals: ServerSignals }>;

/** Calls the taker of each sign. */
export const dispatchSignals = (
  takers: SignalHandlers,
  { server, signals, source }: ReceivedSignals,
): void => {
  const takeSign = <Name extends keyof ServerSignals>(name: Name) =>
    takers[name]({ server, signal: signals[name], source });
  const names = Object.keys(takers) as (keyof ServerSignals)[];
  names.forEach(takeSign);
};
