/** Bounds on what a bundle may say. */

/** Longest name of anything in a bundle, characters. */
export const MAX_NAME_LENGTH = 100;

/** Prefix of a workspace key's hash. */
export const KEY_HASH_PREFIX = "sha256:";

/** Scope of the signature, so that a signature made for one purpose serves no other. */
export const APPROVAL_CONTEXT = "stairgauge bundle approval v1";
