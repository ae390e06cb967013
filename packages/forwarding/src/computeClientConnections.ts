/** How many connections of clients a process takes, given the descriptors that it may have open. Pure. */

/** Kept for files, listeners, the store, other boxes and the engines' reports; the users' pages keep 200 for files. */
const KEPT_DESCRIPTORS = 400;

/** A client's connection may need one to a server beside it. */
const DESCRIPTORS_EACH = 2;

/** Connections taken even where the limit is very low. */
const MIN_CONNECTIONS = 16;

/** Computes the bound; a connection beyond it is closed unread, so that its client finds another box. */
export const computeClientConnections = (descriptors: number): number =>
  Math.max(
    MIN_CONNECTIONS,
    Math.floor((descriptors - KEPT_DESCRIPTORS) / DESCRIPTORS_EACH),
  );
