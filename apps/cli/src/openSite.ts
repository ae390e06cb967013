/** Reads the settings of the command line and connects to the platform of the site. */
import { readFileSync } from "node:fs";
import {
  createSystemClock,
  createSystemRandom,
  Err,
  Ok,
  type Result,
} from "@stairgauge/common";
import { createHttpPlatform } from "@stairgauge/stores";
import { createOperatorFlows, type OperatorFlows } from "@stairgauge/rollout";
import {
  formatSettingsFailure,
  parseCliSettings,
  type CliSettings,
} from "@stairgauge/settings";
import type { CommandFailure } from "./failures.js";

/** Settings and operations of a site; `close` disconnects from its platform. */
export type Site = Readonly<{
  settings: CliSettings;
  flows: OperatorFlows;
  close: () => Promise<void>;
}>;

/** Reads a text file; fails with `unreadable_file`. */
export const readText = (path: string): Result<string, CommandFailure> => {
  try {
    return Ok(readFileSync(path, "utf8"));
  } catch (error) {
    const detail = error instanceof Error ? error.message : "unreadable";
    return Err({ kind: "unreadable_file", path, detail });
  }
};

/** Opens the site that the settings file describes. */
export const openSite = (path: string): Result<Site, CommandFailure> => {
  const text = readText(path);
  if (text.err) return text;
  const parsed = parseCliSettings(text.val);
  if (parsed.err) {
    return Err({
      kind: "wrong_settings",
      path,
      detail: formatSettingsFailure(parsed.val),
    });
  }
  const settings = parsed.val;
  const platform = createHttpPlatform(settings.platform);
  const flows = createOperatorFlows({
    platform,
    clock: createSystemClock(),
    random: createSystemRandom(),
    rules: {
      trusted: settings.signOff.trustedOperators,
      approvalsNeeded: settings.signOff.approvalsNeeded,
    },
  });
  return Ok({ settings, flows, close: platform.close });
};

/** Opens a site, runs the step and closes the site, also if the step fails. */
export const withSite = async <T>(
  path: string,
  run: (site: Site) => Promise<Result<T, CommandFailure>>,
): Promise<Result<T, CommandFailure>> => {
  const site = openSite(path);
  if (site.err) return site;
  try {
    return await run(site.val);
  } finally {
    await site.val.close();
  }
};
