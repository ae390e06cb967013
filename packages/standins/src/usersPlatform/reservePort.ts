/** Reserves the loopback port of a stand-in that ends and starts again at its address. */
import { once } from "node:events";
import { connect, createServer, type AddressInfo } from "node:net";
import { listenOnLoopback, LOOPBACK } from "./loopback.js";

/** A port that the operating system gives to no other process, whether or not the stand-in listens at it. */
export type ReservedPort = Readonly<{ port: number; release: () => void }>;

/**
 * Reserves a free port until it is released. A connection bound to the port keeps it: listening at it by its number is
 * allowed, and connections to it are refused while nothing listens.
 */
export const reservePort = async (): Promise<ReservedPort> => {
  const server = createServer((socket) => socket.on("error", () => undefined).resume());
  const { address, close } = await listenOnLoopback(server);
  const socket = connect({
    host: LOOPBACK,
    port: Number(address.split(":")[1]),
    localAddress: LOOPBACK,
    localPort: 0,
  });
  await once(socket, "connect");
  // Nobody else can connect to a port that only the socket knows.
  close();
  const { port } = socket.address() as AddressInfo;
  return { port, release: () => void socket.destroy() };
};
