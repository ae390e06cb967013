/** Which configuration is in force at this box, and how old what it knows of it is. */
import type { Ms } from "@stairgauge/common";
import { indexConfiguration, type ConfigurationIndex } from "./indexConfiguration.js";
import type { ConfigurationVersion, FleetConfiguration } from "./types.js";

/** What became of a configuration that was read. */
export type AdoptOutcome = Readonly<
  | { kind: "adopted"; version: ConfigurationVersion }
  | { kind: "known"; version: ConfigurationVersion }
  /** Older than the one in force: a stale read. It confirms nothing. */
  | { kind: "older"; version: ConfigurationVersion; inForce: ConfigurationVersion }
>;

/** How much a box may decide on what it knows. */
export type ConfigurationFreshness =
  /** Nothing was read yet. */
  | "unknown"
  /** Known, and confirmed lately enough to accept keys and to deny unknown ones. */
  | "current"
  /** Confirmed lately enough to accept keys, too long ago to say that a key or route is not there. */
  | "ageing"
  /** Confirmed too long ago to accept keys: one of them may have been taken away since. */
  | "expired";

/** Ages at which the standing changes. */
export type FreshnessLimits = Readonly<{ denyWithin: Ms; acceptWithin: Ms }>;

/** Holds the configuration in force. */
export type ConfigurationHolder = Readonly<{
  /** Takes a configuration that was in force at `asOf`; versions never go back. */
  adopt: (configuration: FleetConfiguration, asOf: Ms) => AdoptOutcome;
  /** Notes that the store had nothing newer at `asOf`. */
  confirm: (asOf: Ms) => void;
  getIndex: () => ConfigurationIndex | undefined;
  getAge: (now: Ms) => Ms;
  getFreshness: (now: Ms) => ConfigurationFreshness;
}>;

/** Creates a keeper that knows nothing yet. */
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
