/** Counts the request bodies in memory against the box's limit, from the first byte that is read until the request has ended. */

/**
 * Share of the memory for requests that would be refused as they stand, such as those without a valid key: their bodies
 * take no room from those of workspaces.
 */
const REFUSED_SHARE = 1 / 8;

/** The memory of one request's body. */
export type BodyShare = Readonly<{
  /** Whether this many bytes more fit. */
  fits: (bytes: number) => boolean;
  /** Takes memory for bytes that were read; false if they don't fit. */
  take: (bytes: number) => boolean;
  /** Frees all of it; nothing can be taken after that. */
  release: () => void;
}>;

/** The memory for bodies. */
export type BodyMemory = Readonly<{
  /** Opens an empty share; `isAdmitted` tells whether the request would be admitted by its head. */
  open: (isAdmitted: boolean) => BodyShare;
}>;

/** Creates the memory, of which nothing is taken. */
export const createBodyMemory = (maxBytes: number): BodyMemory => {
  let taken = 0;
  let takenByRefused = 0;
  return {
    open: (isAdmitted) => {
      let own = 0;
      let isReleased = false;
      const fits = (bytes: number) =>
        !isReleased &&
        taken + bytes <= maxBytes &&
        (isAdmitted || takenByRefused + bytes <= maxBytes * REFUSED_SHARE);
      const add = (bytes: number) => {
        own += bytes;
        taken += bytes;
        if (!isAdmitted) takenByRefused += bytes;
      };
      return {
        fits,
        take: (bytes) => {
          if (!fits(bytes)) return false;
          add(bytes);
          return true;
        },
        release: () => {
          isReleased = true;
          add(-own);
        },
      };
    },
  };
};
