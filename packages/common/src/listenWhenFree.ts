/**
 * Waits for an address that is in use at the start of a box. The process before it keeps its ports until its requests have
 * ended, an outgoing connection may have got one of them, and a network interface may come up later than the box.
 */
import type { Clock } from "./clock.js";
import type { HostAndPort } from "./toHostAndPort.js";
import type { Ms } from "./types.js";

/** Pause between two attempts: a restarted box serves soon after the process before it has ended. */
const RETRY_MS = 100 as Ms;

const PASSING_CODES: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);

type WriteLine = (event: string, fields: Readonly<Record<string, unknown>>) => void;

export type ListenWhenFreeOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  log: Readonly<{ writeNotice: WriteLine; writeWarning: WriteLine }>;
  /** Its name in the log. */
  listener: string;
  address: HostAndPort;
  listen: (address: HostAndPort) => Promise<number>;
  /** How long the address is awaited. */
  limit: Ms;
  isStopped: () => boolean;
}>;

/**
 * Resolves to the port. Rejects with the error of `listen` if that is no address in use, if the limit has passed, or if the
 * box is stopped meanwhile.
 */
export const listenWhenFree = async (options: ListenWhenFreeOptions): Promise<number> => {
  const { clock, log, listener, address, limit } = options;
  const begunAt = clock.monotonic();
  let isWaiting = false;

  const recordWait = (code: string | undefined) => {
    if (isWaiting) return;
    isWaiting = true;
    log.writeWarning("address_in_use", { listener, ...address, code, limitMs: limit });
  };
  const computeWaited = () => clock.monotonic() - begunAt;

  for (;;) {
    try {
      const port = await options.listen(address);
      if (isWaiting)
        log.writeNotice("address_free", {
          listener,
          ...address,
          waitedMs: Math.round(computeWaited()),
        });
      return port;
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      if (!PASSING_CODES.has(code) || computeWaited() >= limit || options.isStopped())
        throw error;
      recordWait(code);
    }
    await new Promise<void>((resolve) => clock.setTimer(RETRY_MS, resolve));
    if (options.isStopped()) throw new Error(`stopped before ${listener} could listen`);
  }
};
