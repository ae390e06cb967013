/** Reserves loopback ports of stand-ins, so that callers of one that has ended reach no other. */
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Server } from "node:net";

export const LOOPBACK = "127.0.0.1";

/** A port that the operating system gives to no other process, whether or not the stand-in listens at it. */
export type ReservedPort = Readonly<{ port: number; release: () => void }>;

const getPort = (server: Server) => (server.address() as AddressInfo).port;

/**
 * Reserves a free port until it is released or the process ends, which it doesn't delay. A connection bound to the port keeps it:
 * listening at it by its number is allowed, and connections to it are refused while nothing listens.
 */
export const reservePort = async (): Promise<ReservedPort> => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.resume().unref();
  });
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  const socket = connect({
    host: LOOPBACK,
    port: getPort(server),
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
