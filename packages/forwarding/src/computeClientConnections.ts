/** How many client connections a process accepts, given its limit of open file descriptors. Pure. */

/**
 * Descriptors reserved for files, listeners, the store, other boxes and the engines' reports. The
 * platform's documentation reserves 200 of them for files.
 */
const RESERVED_DESCRIPTORS = 400;

/** Each client connection may need one connection to a server. */
const DESCRIPTORS_PER_CLIENT = 2;

/** Connections accepted even if the descriptor limit is very low. */
const MIN_CONNECTIONS = 16;

/** Computes the limit; a connection beyond it is closed unread, so that the client tries another box. */
export const computeClientConnections = (descriptors: number): number =>
  Math.max(
    MIN_CONNECTIONS,
    Math.floor((descriptors - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CLIENT),
  );
