/** Passes the signals of an answer to their handlers. */
import type { ReceivedSignal, ServerSignals, SignalHandlers } from "./types.js";

/** All signals of one answer, with its server and the call that it answers. */
export type ReceivedSignals = Omit<ReceivedSignal<ServerSignals>, "signal"> &
  Readonly<{ signals: ServerSignals }>;

/** Calls the handler of each signal. */
export const dispatchSignals = (
  handlers: SignalHandlers,
  { server, signals, source }: ReceivedSignals,
): void => {
  const handleSignal = <Name extends keyof ServerSignals>(name: Name) =>
    handlers[name]({ server, signal: signals[name], source });
  const names = Object.keys(handlers) as (keyof ServerSignals)[];
  names.forEach(handleSignal);
};
