/** Turns SIGTERM and SIGINT into a planned stop; a second one hastens it. */
import { EXIT_OK } from "./constants.js";

/** Stops on signals, and ends the process once the stop is done. */
export const stopOnSignals = (stop: () => Promise<void>): void => {
  const handleSignal = () => {
    void stop().then(() => process.exit(EXIT_OK));
  };
  process.on("SIGTERM", handleSignal);
  process.on("SIGINT", handleSignal);
};
