/** A box's settings: YAML, checked by schema. */
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
