/** Workspace keys. Callers send the keys; the bundle contains only their hashes. */
import { createHash, timingSafeEqual } from "node:crypto";
import { KEY_HASH_PREFIX } from "./constants.js";

/** Length of the hash prefix that selects a bucket of the index. */
const INDEX_HEX_DIGITS = 8;

/** Hashes a caller's key in the bundle's format. Keys are random, so one round of hashing is enough. */
export const hashKey = (key: string): string =>
  KEY_HASH_PREFIX + createHash("sha256").update(key).digest("hex");

/** An indexed key hash. It shares the bundle's string, since copies would need more memory than the index. */
type Entry<T> = Readonly<{ hash: string; owner: T }>;

/** Index of key hashes. `findOwner` returns the owner of a caller's key, or undefined if it has none. */
export type KeyIndex<T> = Readonly<{ findOwner: (key: string) => T | undefined }>;

/**
 * Builds an index of key hashes. Only a short prefix of the hash selects candidates. Their whole hashes
 * are compared in constant time, so that response times reveal nothing about the rest of a stored hash.
 */
export const buildKeyIndex = <T>(
  owners: Iterable<Readonly<{ keyHashes: readonly string[]; owner: T }>>,
): KeyIndex<T> => {
  const buckets = new Map<string, Entry<T>[]>();
  const toBucket = (hash: string) =>
    hash.slice(KEY_HASH_PREFIX.length, KEY_HASH_PREFIX.length + INDEX_HEX_DIGITS);
  for (const { keyHashes, owner } of owners) {
    for (const hash of keyHashes) {
      const entries = buckets.get(toBucket(hash)) ?? [];
      entries.push({ hash, owner });
      buckets.set(toBucket(hash), entries);
    }
  }
  return {
    findOwner: (key) => {
      const presented = hashKey(key);
      const hash = Buffer.from(presented);
      const entries = buckets.get(toBucket(presented)) ?? [];
      return entries.find((entry) => timingSafeEqual(Buffer.from(entry.hash), hash))
        ?.owner;
    },
  };
};
