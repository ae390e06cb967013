/** How much memory a process uses for bytes of clients, given the memory of its machine. Pure. */

const BYTES_PER_MB = 1024 * 1024;

/**
 * Largest shares of the machine's memory. A process at rest takes four tenths of that of a small machine, and its heap
 * may grow by three more.
 */
const MAX_BODIES_SHARE = 1 / 8;
const MAX_UNREAD_SHARE = 1 / 16;
const MAX_CARRIED_SHARE = 1 / 16;

/** Limits that were set, in MB, and the machine's memory; undefined if it is not known. */
export type SetByteLimits = Readonly<{
  bodiesMb: number;
  unreadMb: number;
  carriedMb: number;
  memoryMb: number | undefined;
}>;

/** Limits in bytes: for request bodies, for what is not handled or not read yet, and for bodies of carried requests. */
export type ByteLimits = Readonly<{ bodies: number; unread: number; carried: number }>;

/** Computes the limits: those that were set, or less on a machine with little memory. */
export const computeByteLimits = ({
  bodiesMb,
  unreadMb,
  carriedMb,
  memoryMb = Infinity,
}: SetByteLimits): ByteLimits => ({
  bodies: Math.min(bodiesMb, memoryMb * MAX_BODIES_SHARE) * BYTES_PER_MB,
  unread: Math.min(unreadMb, memoryMb * MAX_UNREAD_SHARE) * BYTES_PER_MB,
  carried: Math.min(carriedMb, memoryMb * MAX_CARRIED_SHARE) * BYTES_PER_MB,
});
