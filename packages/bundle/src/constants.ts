/** Constants of the bundle format. */

/** Maximum length of a name in a bundle, in characters. */
export const MAX_NAME_LENGTH = 100;

/** Prefix of a workspace key's hash that names the hash function. */
export const KEY_HASH_PREFIX = "sha256:";

/** First line of the signed text, so that a signature made for another purpose is not valid here. */
export const APPROVAL_CONTEXT = "stairgauge bundle approval v1";
