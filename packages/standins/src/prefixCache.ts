/** The stand-in engine's prefix cache: least recently used prefixes leave first. */
import type { CacheEvent } from "@stairgauge/engines";

const MAX_EVENTS_KEPT = 1_000;

type Prefix = Readonly<{ hash: string; tokens: number }>;

/** Creates a cache that holds up to `capacityTokens`. */
export const createPrefixCache = (capacityTokens: number) => {
  /** Insertion order is the order of use, oldest first. */
  const held = new Map<string, number>();
  let events: CacheEvent[] = [];
  let usedTokens = 0;
  let sequence = 0;

  const record = (kind: CacheEvent["kind"], prefixHash: string) => {
    sequence += 1;
    events.push({ sequence, kind, prefixHash });
    if (events.length > MAX_EVENTS_KEPT) events = events.slice(MAX_EVENTS_KEPT / 2);
  };
  const evictOldest = () => {
    const oldest = held.entries().next().value;
    if (!oldest) return;
    const [hash, tokens] = oldest;
    held.delete(hash);
    usedTokens -= tokens;
    record("evicted", hash);
  };

  return {
    /** Uses a prefix and keeps it; returns how many of its tokens were there already. */
    touch: (prefix: Prefix): number => {
      const cached = held.get(prefix.hash);
      if (cached !== undefined) {
        held.delete(prefix.hash);
        held.set(prefix.hash, cached);
        return cached;
      }
      if (prefix.tokens === 0 || prefix.tokens > capacityTokens) return 0;
      while (usedTokens + prefix.tokens > capacityTokens) evictOldest();
      held.set(prefix.hash, prefix.tokens);
      usedTokens += prefix.tokens;
      record("stored", prefix.hash);
      return 0;
    },
    /** Changes after a sequence number. */
    listEvents: (after: number): readonly CacheEvent[] =>
      events.filter((event) => event.sequence > after),
  };
};
