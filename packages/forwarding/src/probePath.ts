/** Finds out whether a box's own path to a server is open, without a client's request. */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import { HELD_BODY_LIMITS } from "./answerLimits.js";
import type { OpenOwnExchange } from "./serverExchanges.js";
import type { HeadCodec } from "./types.js";

/** The path to probe. */
export type PathProbe = Readonly<{
  clock: Clock;
  codec: Pick<HeadCodec, "encodeHealthCall">;
  entry: Pick<ServerEntry, "name" | "address">;
  /** Without a health path an established connection proves the path. */
  healthPath: string | undefined;
  connectLimit: Ms;
  openOwn: OpenOwnExchange;
}>;

/**
 * Resolves with whether the server answered; what it answered says nothing about the path. Undefined if the
 * probe could not be sent.
 */
export const probePath = (probe: PathProbe): Promise<boolean | undefined> =>
  new Promise((resolve) => {
    const { clock, codec, entry, healthPath, connectLimit, openOwn } = probe;
    const finish = (isReached: boolean | undefined) => {
      timer.cancel();
      exchange.cancel();
      resolve(isReached);
    };
    const exchange = openOwn(
      {
        address: entry.address,
        method: "GET",
        target: healthPath ?? "/",
        headers: codec.encodeHealthCall(entry),
        body: Buffer.alloc(0),
        connectLimit,
      },
      {
        onConnected: () => {
          if (healthPath === undefined) finish(true);
        },
        onHead: () => finish(true),
        onData: () => undefined,
        onEnd: () => finish(true),
        onFailure: ({ kind }) => finish(kind === "unsendable" ? undefined : false),
      },
    );
    const timer = clock.setTimeLimit(HELD_BODY_LIMITS.healthCheck.maxTime, () =>
      finish(false),
    );
  });
