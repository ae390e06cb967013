/** Parses the settings of boxes and of the command line from YAML and validates them. */
export { awaitSettings } from "./awaitSettings.js";
export {
  formatSettingsFailure,
  parseBoxSettings,
  parseCliSettings,
  parseSettings,
} from "./parseSettings.js";
export type {
  CliSettings,
  SettingFault,
  Settings,
  SettingsFailure,
} from "./parseSettings.js";
export type { BoxSettings } from "./boxSettings.js";
