/** Holds the configuration in force at this box, and how recently it was confirmed. */
import type { Ms } from "@stairgauge/common";
import { indexConfiguration, type ConfigurationIndex } from "./indexConfiguration.js";
import type { ConfigurationVersion, FleetConfiguration } from "./types.js";

/** Result of adopting a configuration; `known` means that its version is already in force. */
export type AdoptOutcome = Readonly<
  | { kind: "adopted"; version: ConfigurationVersion }
  | { kind: "known"; version: ConfigurationVersion }
  /** Older than the one in force. This was a stale read and does not confirm the current version. */
  | { kind: "older"; version: ConfigurationVersion; inForce: ConfigurationVersion }
>;

/** How far a box may rely on its configuration. */
export type ConfigurationFreshness =
  /** No configuration has been read. */
  | "unknown"
  /** Confirmed recently enough to accept keys and to deny unknown keys and routes. */
  | "current"
  /** Confirmed recently enough to accept keys, but not to deny: an unknown key or route may be new. */
  | "ageing"
  /** Confirmed too long ago to accept keys: a key may have been removed since. */
  | "expired";

/** Largest age of the last confirmation at which unknown keys are denied, and at which keys are accepted. */
export type FreshnessLimits = Readonly<{ denyWithin: Ms; acceptWithin: Ms }>;

/** Holds the configuration in force. */
export type ConfigurationHolder = Readonly<{
  /** Adopts a configuration that was in force at `asOf`, unless its version is lower than the current one. */
  adopt: (configuration: FleetConfiguration, asOf: Ms) => AdoptOutcome;
  /** Records that the store had no newer version at `asOf`. */
  confirm: (asOf: Ms) => void;
  /** Undefined until a configuration is adopted. */
  getIndex: () => ConfigurationIndex | undefined;
  /** Time since the last confirmation; infinite if there was none. */
  getAge: (now: Ms) => Ms;
  getFreshness: (now: Ms) => ConfigurationFreshness;
}>;

/** Creates a holder without a configuration. */
export const createConfigurationHolder = (
  limits: FreshnessLimits,
): ConfigurationHolder => {
  let index: ConfigurationIndex | undefined;
  let confirmedAt = -Infinity;

  const confirm = (asOf: Ms) => {
    confirmedAt = Math.max(confirmedAt, asOf);
  };
  const getAge = (now: Ms) => (now - confirmedAt) as Ms;

  return {
    adopt: (configuration, asOf) => {
      const { version } = configuration;
      const inForce = index?.configuration.version;
      if (inForce !== undefined && version < inForce)
        return { kind: "older", version, inForce };
      confirm(asOf);
      if (version === inForce) return { kind: "known", version };
      index = indexConfiguration(configuration);
      return { kind: "adopted", version };
    },
    confirm,
    getIndex: () => index,
    getAge,
    getFreshness: (now) => {
      if (!index) return "unknown";
      const age = getAge(now);
      if (age <= limits.denyWithin) return "current";
      return age <= limits.acceptWithin ? "ageing" : "expired";
    },
  };
};
