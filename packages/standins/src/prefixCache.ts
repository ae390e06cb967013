/** Prefix cache of the stand-in engine; it evicts the least recently used prefixes first. */
import type { CacheEvent } from "@stairgauge/engines";

const MAX_EVENTS_KEPT = 1_000;

type Prefix = Readonly<{ hash: string; tokens: number }>;

/** Creates an empty cache with a capacity of `capacityTokens`. */
export const createPrefixCache = (capacityTokens: number) => {
  /** Tokens by prefix hash; the insertion order is the order of use, oldest first. */
  const prefixes = new Map<string, number>();
  let events: CacheEvent[] = [];
  let usedTokens = 0;
  let sequence = 0;

  const record = (kind: CacheEvent["kind"], prefixHash: string) => {
    sequence += 1;
    events.push({ sequence, kind, prefixHash });
    if (events.length > MAX_EVENTS_KEPT) events = events.slice(MAX_EVENTS_KEPT / 2);
  };
  const evictOldest = () => {
    const oldest = prefixes.entries().next().value;
    if (!oldest) return;
    const [hash, tokens] = oldest;
    prefixes.delete(hash);
    usedTokens -= tokens;
    record("evicted", hash);
  };

  return {
    /** Marks a prefix as used and stores it if it fits; returns how many of its tokens were cached before. */
    touch: (prefix: Prefix): number => {
      const cached = prefixes.get(prefix.hash);
      if (cached !== undefined) {
        prefixes.delete(prefix.hash);
        prefixes.set(prefix.hash, cached);
        return cached;
      }
      if (prefix.tokens === 0 || prefix.tokens > capacityTokens) return 0;
      while (usedTokens + prefix.tokens > capacityTokens) evictOldest();
      prefixes.set(prefix.hash, prefix.tokens);
      usedTokens += prefix.tokens;
      record("stored", prefix.hash);
      return 0;
    },
    /** Returns the recorded changes after a sequence number; the oldest ones are discarded. */
    listEvents: (after: number): readonly CacheEvent[] =>
      events.filter((event) => event.sequence > after),
  };
};
