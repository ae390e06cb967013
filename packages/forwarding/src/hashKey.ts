/** Identifies the holder of a key towards other boxes, to which keys are not passed on. */
import { createHash } from "node:crypto";

/** This many characters tell 2^48 keys apart. */
const HASH_LENGTH = 8;

/** Returns a digest of the key. */
export const hashKey = (key: string): string =>
  createHash("sha256").update(key).digest("base64url").slice(0, HASH_LENGTH);
