/** Records what streams are bound to, in bounded memory and for a limited time. Pure: the time is passed in. */
import type { Ms } from "@stairgauge/common";
import type { StreamBinding } from "@stairgauge/placement";
import { MAX_ORIGINS } from "./constants.js";
import type { SharedOrigin, StreamKey } from "./types.js";

/** The origins that one box has on record. */
export type OriginRegistry = Readonly<{
  /** Records an origin, or until when a known one counts. `isOwn` if this box relays the stream. */
  put: (origin: SharedOrigin, now: Ms, isOwn: boolean) => void;
  find: (key: StreamKey, now: Ms) => SharedOrigin | undefined;
  /** Lists the origins of streams that this box relays or has relayed. */
  listOwn: (now: Ms) => readonly SharedOrigin[];
  count: () => number;
}>;

type Kept = Readonly<{ binding: StreamBinding; until: Ms; isOwn: boolean }>;

const isSameBinding = (a: StreamBinding, b: StreamBinding) =>
  a.service === b.service && a.softwareVersion === b.softwareVersion;

/** Two streams under one key have begun at different software: it is not certain which one a client means. */
const combineBindings = (before: StreamBinding | undefined, binding: StreamBinding) =>
  before === undefined || isSameBinding(before, binding)
    ? binding
    : { ...binding, softwareVersion: undefined };

/** Creates an empty registry. */
export const createOriginRegistry = (maxOrigins = MAX_ORIGINS): OriginRegistry => {
  /** Ordered by the time of the last change. */
  const origins = new Map<StreamKey, Kept>();

  const findKept = (key: StreamKey, now: Ms) => {
    const kept = origins.get(key);
    return kept && kept.until > now ? kept : undefined;
  };
  const toShared = (key: StreamKey, { binding, until }: Kept, now: Ms): SharedOrigin => ({
    key,
    binding,
    left: (until - now) as Ms,
  });
  /** Stops at the first origin that counts. Later ones with a shorter time are dropped a little later. */
  const dropOutdated = (now: Ms) => {
    for (const [key, { until }] of origins) {
      if (until > now && origins.size <= maxOrigins) return;
      origins.delete(key);
    }
  };

  return {
    put: ({ key, binding, left }, now, isOwn) => {
      const known = findKept(key, now);
      origins.delete(key);
      origins.set(key, {
        binding: combineBindings(known?.binding, binding),
        until: (now + left) as Ms,
        isOwn: isOwn || (known?.isOwn ?? false),
      });
      dropOutdated(now);
    },
    find: (key, now) => {
      const kept = findKept(key, now);
      return kept && toShared(key, kept, now);
    },
    listOwn: (now) =>
      [...origins]
        .filter(([, { isOwn, until }]) => isOwn && until > now)
        .map(([key, kept]) => toShared(key, kept, now)),
    count: () => origins.size,
  };
};
