/** Limits what one box carries for others, so that its own clients keep most of it. */
import {
  CARRIED_DESCRIPTOR_SHARE,
  MAX_CARRIED_BODY_BYTES,
  MAX_CARRIED_TOTAL_BYTES,
} from "./constants.js";

/** What a box carries for others at present. */
export type CarryBounds = Readonly<{
  /** Takes room for a request with a body of this size; undefined if there is none. The returned function frees it. */
  take: (bodyBytes: number) => (() => void) | undefined;
  count: () => number;
}>;

/** Creates the bounds of a box that may open this many files and sockets. */
export const createCarryBounds = (descriptors: number): CarryBounds => {
  const maxRequests = Math.floor(descriptors * CARRIED_DESCRIPTOR_SHARE);
  let requests = 0;
  let bytes = 0;

  return {
    take: (bodyBytes) => {
      if (requests >= maxRequests || bodyBytes > MAX_CARRIED_BODY_BYTES) return undefined;
      if (bytes + bodyBytes > MAX_CARRIED_TOTAL_BYTES) return undefined;
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
