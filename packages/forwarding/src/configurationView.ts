/** Read access to the configuration that is in force. */
import type { Ms } from "@stairgauge/common";
import type { ConfigurationFreshness, ConfigurationIndex } from "@stairgauge/routing";

/** Read access to the current configuration and to how recently it was confirmed. */
export type ConfigurationView = Readonly<{
  getIndex: () => ConfigurationIndex | undefined;
  getFreshness: () => ConfigurationFreshness;
  getAge: () => Ms;
}>;
