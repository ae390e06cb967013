/** How much memory a process uses for bytes of clients and servers, given the memory of its machine. Pure. */

const BYTES_PER_MB = 1024 * 1024;

/**
 * Largest shares of the machine's memory. A process at rest takes four tenths of that of a small machine, and its heap
 * may grow by three more.
 */
const MAX_BODIES_SHARE = 1 / 8;
const MAX_UNREAD_SHARE = 1 / 16;
const MAX_CARRIED_SHARE = 1 / 16;
const MAX_ANSWERS_SHARE = 1 / 20;

/** Limits that were set, in MB, and the machine's memory; undefined if it is not known. */
export type SetByteLimits = Readonly<{
  bodiesMb: number;
  unreadMb: number;
  carriedMb: number;
  answersMb: number;
  memoryMb: number | undefined;
}>;

/**
 * Limits in bytes: for request bodies, for what is not handled or not read yet, for bodies of carried requests, and for
 * servers' answers that are held.
 */
export type ByteLimits = Readonly<{
  bodies: number;
  unread: number;
  carried: number;
  answers: number;
}>;

/** Computes the limits: those that were set, or less on a machine with little memory. */
export const computeByteLimits = ({
  bodiesMb,
  unreadMb,
  carriedMb,
  answersMb,
  memoryMb = Infinity,
}: SetByteLimits): ByteLimits => ({
  bodies: Math.min(bodiesMb, memoryMb * MAX_BODIES_SHARE) * BYTES_PER_MB,
  unread: Math.min(unreadMb, memoryMb * MAX_UNREAD_SHARE) * BYTES_PER_MB,
  carried: Math.min(carriedMb, memoryMb * MAX_CARRIED_SHARE) * BYTES_PER_MB,
  answers: Math.min(answersMb, memoryMb * MAX_ANSWERS_SHARE) * BYTES_PER_MB,
});
