/** Reserves loopback ports of stand-ins, so that callers of one that has ended reach no other. */
import { once } from "node:events";
import { connect, createServer, type AddressInfo } from "node:net";
import { listenOn } from "@stairgauge/common";

export const LOOPBACK = "127.0.0.1";

/** A port that the operating system gives to no other process, whether or not the stand-in listens at it. */
export type ReservedPort = Readonly<{ port: number; release: () => void }>;

/**
 * Reserves a free port until it is released or the process ends, which it doesn't delay. A connection bound to the port keeps it:
 * listening at it by its number is allowed, and connections to it are refused while nothing listens.
 */
export const reservePort = async (): Promise<ReservedPort> => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.resume().unref();
  });
  const socket = connect({
    host: LOOPBACK,
    port: await listenOn(server, { host: LOOPBACK, port: 0 }),
    localAddress: LOOPBACK,
    localPort: 0,
  });
  await once(socket, "connect");
  socket.unref();
  // Nobody else can connect to a port that only the socket knows.
  server.close();
  const { port } = socket.address() as AddressInfo;
  return { port, release: () => void socket.destroy() };
};
