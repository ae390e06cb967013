/**
 * Collects the bytes of a body in few buffers. They are copied: each chunk that is kept as it came would cost some hundred
 * bytes, however short it is, and keep the whole read that brought it.
 */

/** Bytes that have been collected. */
export type ByteCollector = Readonly<{
  getLength: () => number;
  append: (chunk: Buffer) => void;
  /** Returns all bytes. They may share memory with the collector, to which nothing may be appended any more. */
  join: () => Buffer;
}>;

/** Size of the buffers that bytes are copied into: an eighth of what came before, and no less than this. */
const SPARE_SHARE = 1 / 8;
const MIN_BUFFER_BYTES = 64;

/** Creates a collector of no bytes. */
export const createByteCollector = (): ByteCollector => {
  const full: Buffer[] = [];
  let last = Buffer.alloc(0);
  /** Bytes of the last buffer that are used. */
  let used = 0;
  let length = 0;

  const startBuffer = (bytes: number) => {
    if (used > 0) full.push(last);
    const spare = Math.max(MIN_BUFFER_BYTES, Math.floor(length * SPARE_SHARE));
    last = Buffer.allocUnsafeSlow(length === 0 ? bytes : Math.max(bytes, spare));
    used = 0;
  };
  return {
    getLength: () => length,
    append: (chunk) => {
      const fitting = chunk.copy(last, used);
      used += fitting;
      length += fitting;
      if (fitting === chunk.length) return;
      startBuffer(chunk.length - fitting);
      const rest = chunk.copy(last, 0, fitting);
      used = rest;
      length += rest;
    },
    join: () => {
      const end = last.subarray(0, used);
      return full.length === 0 ? end : Buffer.concat([...full, end], length);
    },
  };
};
