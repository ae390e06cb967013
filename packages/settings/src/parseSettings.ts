/** Parses the settings of boxes and of the command line from YAML text. */
import { parse as parseYaml } from "yaml";
import type { z } from "zod";
import { Err, Ok, type Result } from "@stairgauge/common";
import { boxSettingsSchema, type BoxSettings } from "./boxSettings.js";
import { cliSettingsSchema, settingsSchema } from "./schema.js";

/** Validated settings of a box. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Validated settings of the command line. */
export type CliSettings = Readonly<z.infer<typeof cliSettingsSchema>>;

/** An invalid setting: its path in the file, and what was expected. */
export type SettingFault = Readonly<{ path: string; expected: string }>;

/** Why a text could not be parsed as settings. */
export type SettingsFailure = Readonly<
  | { kind: "not_yaml"; detail: string }
  | { kind: "invalid_settings"; faults: readonly SettingFault[] }
>;

const describeIssue = (issue: z.core.$ZodIssue): readonly SettingFault[] => {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      path: [...path, key].join("."),
      expected: "no such setting",
    }));
  }
  return [{ path: path.join(".") || "(whole file)", expected: issue.message }];
};

const decodeYaml = (text: string): Result<unknown, SettingsFailure> => {
  try {
    return Ok(parseYaml(text, { logLevel: "error" }) as unknown);
  } catch (error) {
    const detail =
      error instanceof Error ? (error.message.split("\n")[0] ?? "") : "not YAML";
    return Err({ kind: "not_yaml", detail });
  }
};

const parseAs = <T>(schema: z.ZodType<T>, text: string): Result<T, SettingsFailure> => {
  const decoded = decodeYaml(text);
  if (decoded.err) return decoded;
  const parsed = schema.safeParse(decoded.val);
  if (parsed.success) return Ok(parsed.data);
  return Err({
    kind: "invalid_settings",
    faults: parsed.error.issues.flatMap(describeIssue),
  });
};

/** Parses and validates a box's settings; a failure lists every invalid setting by its path. */
export const parseSettings = (text: string): Result<Settings, SettingsFailure> =>
  parseAs(settingsSchema, text);

/** Parses and validates the settings of a box whose configuration is in the platform's store. */
export const parseBoxSettings = (text: string): Result<BoxSettings, SettingsFailure> =>
  parseAs(boxSettingsSchema, text);

/** Parses and validates the command line's settings. */
export const parseCliSettings = (text: string): Result<CliSettings, SettingsFailure> =>
  parseAs(cliSettingsSchema, text);

/** Formats a failure as text, one line per invalid setting. */
export const formatSettingsFailure = (failure: SettingsFailure): string =>
  failure.kind === "not_yaml"
    ? `not YAML: ${failure.detail}`
    : failure.faults.map(({ path, expected }) => `${path}: ${expected}`).join("\n");
