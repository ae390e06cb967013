/**
 * Keeps signals from ending the process before the program handles them. It runs at the very start of the process; a signal
 * that comes while the program is read is handled by the handlers that the program has added by then.
 */
import { IGNORED_SIGNALS, RELOAD_SIGNAL, STOP_SIGNALS } from "@stairgauge/common/signals";

for (const signal of [...STOP_SIGNALS, RELOAD_SIGNAL, ...IGNORED_SIGNALS])
  process.on(signal, () => undefined);
