/** The bundle: schema, validation, digest, approvals and indexes. */
export type * from "./types.js";
export { checkBundle, parseBundle } from "./parseBundle.js";
export { computeDigest, renderCanonical } from "./digest.js";
export { countApprovals, signDigest } from "./approval.js";
export { adoptHead } from "./adoptHead.js";
export type { ActiveBundle, SignOffRules } from "./adoptHead.js";
export { hashKey } from "./keys.js";
export { indexBundle } from "./indexBundle.js";
export type { BundleIndex } from "./indexBundle.js";
