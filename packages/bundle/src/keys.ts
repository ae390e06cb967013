/** Workspace keys: callers hold them, the bundle holds only their hashes. */
import { createHash, timingSafeEqual } from "node:crypto";
import { KEY_HASH_PREFIX } from "./constants.js";

const INDEX_HEX_DIGITS = 8;

/** Hashes a caller's key as a bundle writes it. Keys are random, so one round suffices. */
export const hashKey = (key: string): string =>
  KEY_HASH_PREFIX + createHash("sha256").update(key).digest("hex");

/** The hash is the bundle's own string: a copy for each key would cost more than the index. */
type Entry<T> = Readonly<{ hash: string; owner: T }>;

/** Finds the owner of a presented key. */
export type KeyIndex<T> = Readonly<{ findOwner: (key: string) => T | undefined }>;

/**
 * Builds an index over key hashes. Only a short prefix of the hash selects candidates; the rest
 * is compared in constant time, so an answer's time says nothing about a stored hash.
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
