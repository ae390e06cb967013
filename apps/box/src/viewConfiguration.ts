/** View of the configuration for parts that decide by its age. */
import type { Clock } from "@stairgauge/common";
import type { ConfigurationView } from "@stairgauge/forwarding";
import type { ConfigurationHolder } from "@stairgauge/routing";

/** Creates the view. The clock must be the one by which the configuration was confirmed. */
export const createConfigurationView = (
  holder: ConfigurationHolder,
  clock: Clock,
): ConfigurationView => ({
  getIndex: holder.getIndex,
  getFreshness: () => holder.getFreshness(clock.monotonic()),
  getAge: () => holder.getAge(clock.monotonic()),
});
