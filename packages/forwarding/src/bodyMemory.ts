/** Counts the request bodies in memory against the box's limit, from the first byte that is read until the request has ended. */

/**
 * Share of the memory for requests that would be refused as they stand, such as those without a valid key: their bodies
 * take no room from those of workspaces.
 */
const REFUSED_SHARE = 1 / 8;

/** The memory of one request's body. */
export type BodyShare = Readonly<{
  /** Whether this many bytes more fit, if unfinished bodies of others are given up for them. */
  fits: (bytes: number) => boolean;
  /** Takes memory for bytes that were read, from unfinished bodies of others if need be; false if they don't fit. */
  take: (bytes: number) => boolean;
  /** The body is complete: it is no longer given up for others. */
  finish: () => void;
  /** Frees all of it; nothing can be taken after that. */
  release: () => void;
}>;

/** Options of a share. */
export type BodyShareOptions = Readonly<{
  /** Whether the request would be admitted by its head. */
  isAdmitted: boolean;
  /** The unfinished body is given up for others; its share is released. */
  onGivenUp: () => void;
}>;

/** The memory for bodies. */
export type BodyMemory = Readonly<{
  /** Opens an empty share. */
  open: (options: BodyShareOptions) => BodyShare;
}>;

type Body = BodyShareOptions & { bytes: number; isReleased: boolean };

const sumBytes = (bodies: Iterable<Body>): number => {
  let sum = 0;
  for (const { bytes } of bodies) sum += bytes;
  return sum;
};

/**
 * Creates the memory, of which nothing is taken. Where it is used up, the unfinished bodies that were begun first are
 * given up: an ordinary client sends its body without a pause, and one that stops short of the end holds no memory
 * against others.
 */
export const createBodyMemory = (maxBytes: number): BodyMemory => {
  const unfinished = new Set<Body>();
  let taken = 0;
  let takenByRefused = 0;

  const add = (body: Body, bytes: number) => {
    body.bytes += bytes;
    taken += bytes;
    if (!body.isAdmitted) takenByRefused += bytes;
  };
  const release = (body: Body) => {
    body.isReleased = true;
    unfinished.delete(body);
    add(body, -body.bytes);
  };
  /** Whether the bytes fit once `freed` of refused requests and `freedInAll` are free. */
  const hasRoom = (body: Body, bytes: number, freedInAll = 0, freed = 0): boolean =>
    taken - freedInAll + bytes <= maxBytes &&
    (body.isAdmitted || takenByRefused - freed + bytes <= maxBytes * REFUSED_SHARE);
  /** Lists what may be given up for a body: a request that would be refused takes nothing from others. */
  const listYielding = (body: Body): readonly Body[] =>
    [...unfinished].filter(
      (other) => other !== body && (body.isAdmitted || !other.isAdmitted),
    );
  const fits = (body: Body, bytes: number): boolean => {
    if (body.isReleased) return false;
    if (hasRoom(body, bytes)) return true;
    const yielding = listYielding(body);
    const ofRefused = yielding.filter(({ isAdmitted }) => !isAdmitted);
    return hasRoom(body, bytes, sumBytes(yielding), sumBytes(ofRefused));
  };
  const dropUnfinishedFor = (body: Body, bytes: number) => {
    for (const other of listYielding(body)) {
      if (hasRoom(body, bytes)) return;
      release(other);
      other.onGivenUp();
    }
  };

  return {
    open: (options) => {
      const body: Body = { ...options, bytes: 0, isReleased: false };
      unfinished.add(body);
      return {
        fits: (bytes) => fits(body, bytes),
        take: (bytes) => {
          if (!fits(body, bytes)) return false;
          if (!hasRoom(body, bytes)) dropUnfinishedFor(body, bytes);
          add(body, bytes);
          return true;
        },
        finish: () => unfinished.delete(body),
        release: () => release(body),
      };
    },
  };
};
