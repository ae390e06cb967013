/**
 * Counts bytes that clients have a process hold, against a limit. Where it is exceeded, the ones that have held some
 * of it longest give theirs up: a client that goes on holds memory for a short time only.
 */

/** What one holder has taken. */
export type HeldBytes = Readonly<{
  /** Sets how many bytes are held now. */
  set: (bytes: number) => void;
}>;

/** The memory of all holders. */
export type ReclaimableMemory = Readonly<{
  /** Creates a holder of nothing; `onTakenBack` has to give up all that it holds. */
  open: (onTakenBack: () => void) => HeldBytes;
}>;

type Holder = { bytes: number; readonly onTakenBack: () => void };

/** Creates the memory, of which nothing is held. */
export const createReclaimableMemory = (maxBytes: number): ReclaimableMemory => {
  /** Those that hold something, the longest first. */
  const holders = new Set<Holder>();
  let held = 0;

  const setBytes = (holder: Holder, bytes: number) => {
    held += bytes - holder.bytes;
    holder.bytes = bytes;
    if (bytes > 0) holders.add(holder);
    else holders.delete(holder);
  };
  const takeBackExcess = () => {
    for (const holder of holders) {
      if (held <= maxBytes) return;
      setBytes(holder, 0);
      holder.onTakenBack();
    }
  };
  return {
    open: (onTakenBack) => {
      const holder: Holder = { bytes: 0, onTakenBack };
      return {
        set: (bytes) => {
          setBytes(holder, bytes);
          takeBackExcess();
        },
      };
    },
  };
};
