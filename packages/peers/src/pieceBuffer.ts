/** Collects bytes that come in small pieces in one buffer: each piece that is kept as it came costs some hundred bytes. */

const MIN_BUFFER_BYTES = 64;

/** Creates a buffer without bytes. */
export const createPieceBuffer = () => {
  let buffer = Buffer.alloc(0);
  let used = 0;
  return {
    append: (piece: Buffer) => {
      if (used + piece.length > buffer.length) {
        const bytes = Math.max(MIN_BUFFER_BYTES, 2 * used, used + piece.length);
        const larger = Buffer.allocUnsafeSlow(bytes);
        buffer.copy(larger, 0, 0, used);
        buffer = larger;
      }
      used += piece.copy(buffer, used);
    },
    take: () => {
      const bytes = buffer.subarray(0, used);
      buffer = Buffer.alloc(0);
      used = 0;
      return bytes;
    },
    isEmpty: () => used === 0,
    /** Bytes of memory, used or not. */
    getCost: () => buffer.length,
  };
};
