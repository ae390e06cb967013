/** The configuration as those see it who decide by how old it is. */
import type { Clock } from "@stairgauge/common";
import type { ConfigurationView } from "@stairgauge/forwarding";
import type { ConfigurationHolder } from "@stairgauge/routing";

/** Creates the view; the clock is the one by which the configuration was confirmed. */
export const createConfigurationView = (
  keeper: ConfigurationHolder,
  clock: Clock,
): ConfigurationView => ({
  getIndex: keeper.getIndex,
  getFreshness: () => keeper.getFreshness(clock.monotonic()),
  getAge: () => keeper.getAge(clock.monotonic()),
});
