/** Test helper: a TCP proxy between a box and the boxes that are linked to it. */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import type { UsersSite } from "@stairgauge/standins";
import { closers } from "./box.testkit.js";

const LOOPBACK = "127.0.0.1";

export type PeerProxy = Readonly<{
  /** While silent, connections stay open and bytes are held; they are passed on afterwards. */
  setSilent: (isSilent: boolean) => void;
  countOpen: () => number;
}>;

/**
 * Starts the proxy. The site's store gives its address to others in place of the box's own, so it
 * must be started before the box.
 */
export const startPeerProxy = async (
  site: UsersSite,
  box: string,
): Promise<PeerProxy> => {
  const open = new Set<Socket>();
  let target = 0;
  let isSilent = false;
  const forward = (from: Socket, to: Socket) => {
    open.add(from);
    from.on("data", (chunk) => void to.write(chunk));
    from.on("error", () => undefined);
    from.on("close", () => {
      open.delete(from);
      to.destroy();
    });
    if (isSilent) from.pause();
  };
  const server = createServer((inner) => {
    const outer = connect(target, LOOPBACK);
    forward(inner, outer);
    forward(outer, inner);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  closers.push(() => {
    server.close();
    for (const socket of open) socket.destroy();
  });
  site.store.changeWrittenRows((key, row) => {
    if (key !== box) return undefined;
    target = Number(row["port"]);
    return { port };
  });
  return {
    countOpen: () => open.size,
    setSilent: (next) => {
      isSilent = next;
      for (const socket of open) {
        if (isSilent) socket.pause();
        else socket.resume();
      }
    },
  };
};
