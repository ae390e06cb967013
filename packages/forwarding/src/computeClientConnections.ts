/** How many connections a process accepts from clients and from other boxes, given its limit of open file descriptors. Pure. */

/**
 * Descriptors reserved for files, listeners, readiness checks, metrics, the store, the engines' reports, and
 * `RESERVED_PEERS` connections of other boxes. The platform's documentation reserves 200 of them for files.
 */
const RESERVED_DESCRIPTORS = 400;

/** Connections of other boxes that are always accepted; further ones take the place of clients. */
const RESERVED_PEERS = 64;

/**
 * Share of the descriptors for connections of other boxes. Each box of a fleet has one to a hub, and for some seconds
 * two, while a hub has not detected yet that the former one is broken.
 */
const PEER_SHARE = 1 / 4;

/** Each client connection may need one connection to a server. */
const DESCRIPTORS_PER_CLIENT = 2;

/** Connections accepted even if the descriptor limit is very low. */
const MIN_CONNECTIONS = 16;

/** Computes the limit for other boxes. */
export const computePeerConnections = (descriptors: number): number =>
  Math.max(RESERVED_PEERS, Math.floor(descriptors * PEER_SHARE));

/**
 * Computes the limit for clients while other boxes have `peers` connections; a connection beyond it is closed unread, so
 * that the client tries another box.
 */
export const computeClientConnections = (descriptors: number, peers: number): number => {
  const reserved = RESERVED_DESCRIPTORS + Math.max(0, peers - RESERVED_PEERS);
  return Math.max(
    MIN_CONNECTIONS,
    Math.floor((descriptors - reserved) / DESCRIPTORS_PER_CLIENT),
  );
};
