/** Turns SIGTERM and SIGINT into a planned stop; a second one hastens it. */
import { STOP_SIGNALS } from "@stairgauge/common";
import { EXIT_OK } from "./constants.js";

/** Stops on signals, and ends the process once the stop is done. */
export const stopOnSignals = (stop: () => Promise<void>): void => {
  const handleSignal = () => {
    void stop().then(() => process.exit(EXIT_OK));
  };
  for (const signal of STOP_SIGNALS) {
    // A handler that was there before ends the process at once.
    process.removeAllListeners(signal);
    process.on(signal, handleSignal);
  }
};
