/**
 * Listens for other boxes: accepts their connections, hands them to the gRPC server, and observes its calls. The server's
 * own listener accepts any number of connections and has no way to close one.
 */
import { createServer, type Socket } from "node:net";
import {
  ServerCredentials,
  ServerInterceptingCall,
  type Server,
  type ServerInterceptor,
} from "@grpc/grpc-js";
import { listenOn } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import type { PeerConnections } from "./peerConnections.js";

/** Formats the peer of a connection as the library does; undefined if the connection has ended already. */
const formatPeer = ({ remoteAddress, remotePort }: Socket): string | undefined =>
  remoteAddress === undefined ? undefined : `${remoteAddress}:${String(remotePort)}`;

/** Creates what reports calls to the connections that they came on. */
export const createCallObserver =
  (connections: PeerConnections): ServerInterceptor =>
  (_method, call) => {
    const opened = connections.openCall(call.getPeer());
    return new ServerInterceptingCall(call, {
      start: (next) =>
        next({
          onReceiveMessage: (message: unknown, passOn) => {
            opened.onMessage();
            passOn(message);
          },
          onCancel: opened.onEnd,
        }),
    });
  };

/** The listener. */
export type PeerListener = Readonly<{
  /** Resolves to the port that it listens at; rejects if it cannot listen, and may then be called again. */
  listen: (address: ServerAddress) => Promise<number>;
  /** Stops listening and closes all connections. */
  close: () => void;
}>;

/** Creates the listener of a gRPC server; it does not listen yet. */
export const createPeerListener = (
  server: Server,
  connections: PeerConnections,
): PeerListener => {
  const injector = server.createConnectionInjector(ServerCredentials.createInsecure());
  const accept = (socket: Socket) => {
    const peer = formatPeer(socket);
    // The library handles errors only of connections that it was handed.
    socket.on("error", () => undefined);
    if (peer === undefined || !connections.add(peer, socket)) {
      socket.destroy();
      return;
    }
    socket.once("close", () => connections.remove(peer, socket));
    injector.injectConnection(socket);
  };
  const listener = createServer({ noDelay: true }, accept);
  return {
    listen: (address) => listenOn(listener, address),
    close: () => {
      listener.close();
      server.forceShutdown();
      connections.close();
    },
  };
};
