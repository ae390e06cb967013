/** Asks whether a process still listens at a server's address, by a connection that carries nothing. */
import { connect } from "node:net";
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";

/** What an address says: a connection came up, it was turned away, or nothing came in time. */
export type ListenerSign = "listens" | "refuses" | "silent";

/** A connection that was taken and then reset is a listener's too: it may have too many. */
const REFUSED = "ECONNREFUSED";

/** Resolves with the first sign; `limit` is how long a connection may take to come up. */
export const askListener = (
  clock: Clock,
  { host, port }: ServerAddress,
  limit: Ms,
): Promise<ListenerSign> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (sign: ListenerSign) => {
      timer.cancel();
      socket.destroy();
      resolve(sign);
    };
    const timer = clock.setTimer(limit, () => finish("silent"));
    socket.once("connect", () => finish("listens"));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === REFUSED) finish("refuses");
      else finish(error.code === "ECONNRESET" ? "listens" : "silent");
    });
  });
