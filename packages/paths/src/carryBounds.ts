/** Limits what one box carries for others, so that its own clients keep most of it. */
import { MAX_CARRIED_BODY_BYTES } from "./constants.js";

/** Options of the bounds. */
export type CarryBoundsOptions = Readonly<{
  /** Most requests at once; each takes one descriptor for its connection to the server. */
  maxRequests: number;
  /** Most bytes of bodies at once. */
  maxHeldBytes: number;
}>;

/** What a box carries for others at present. */
export type CarryBounds = Readonly<{
  /** Takes room for a request with a body of this size; undefined if there is none. The returned function frees it. */
  take: (bodyBytes: number) => (() => void) | undefined;
  count: () => number;
}>;

/** Creates the bounds; nothing is carried. */
export const createCarryBounds = (options: CarryBoundsOptions): CarryBounds => {
  const { maxRequests, maxHeldBytes } = options;
  let requests = 0;
  let bytes = 0;

  return {
    take: (bodyBytes) => {
      if (requests >= maxRequests || bodyBytes > MAX_CARRIED_BODY_BYTES) return undefined;
      if (bytes + bodyBytes > maxHeldBytes) return undefined;
      requests += 1;
      bytes += bodyBytes;
      let isFreed = false;
      return () => {
        if (isFreed) return;
        isFreed = true;
        requests -= 1;
        bytes -= bodyBytes;
      };
    },
    count: () => requests,
  };
};
