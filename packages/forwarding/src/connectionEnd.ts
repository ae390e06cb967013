/**
 * The end of a connection that receives an answer. Node.js reports a reset that arrives with the last bytes as a normal end, and
 * only a write that fails reveals the reset. The HTTP client of Node.js destroys the connection in its listener for the end, which
 * drops the write that is under way before it can fail. So the client is notified later than the owner of the connection.
 */
import type { Socket } from "node:net";

/** Servers skip an empty line between requests, so writing one is harmless. */
const EMPTY_LINE = "\r\n";

/** The end of one connection. */
export type ConnectionEnd = Readonly<{
  /** Takes over the listeners that the HTTP client has added, which are called by `notifyClient` only. */
  takeListeners: () => void;
  /** Calls the HTTP client's listeners: its parser concludes the answer, and the connection is destroyed. */
  notifyClient: () => void;
  /**
   * Calls the function once all of the request has been written, with the error if the connection was reset: one that was reset
   * already is reported in this turn of the event loop.
   */
  probe: (onProbed: (error: Error | null | undefined) => void) => void;
}>;

/** Watches a connection to which no HTTP client has added listeners yet; `onEnd` is called at its end. */
export const watchConnectionEnd = (socket: Socket, onEnd: () => void): ConnectionEnd => {
  // Before the connection's own listener, so that it can still be written to.
  socket.prependListener("end", onEnd);
  const ownListeners = new Set<unknown>(socket.listeners("end"));
  let taken: readonly (() => void)[] = [];
  return {
    takeListeners: () => {
      const listeners = socket.listeners("end") as (() => void)[];
      taken = listeners.filter((listener) => !ownListeners.has(listener));
      for (const notify of taken) socket.removeListener("end", notify);
    },
    notifyClient: () => {
      for (const notify of taken) notify.call(socket);
    },
    // Behind a request that is still being written the line waits, and fails with it.
    probe: (onProbed) => void socket.write(EMPTY_LINE, onProbed),
  };
};
