/** A box's settings: YAML, checked by schema. */
export { formatSettingsFailure, parseSettings } from "./parseSettings.js";
export type { SettingFault, Settings, SettingsFailure } from "./parseSettings.js";
