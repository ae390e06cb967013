/**
 * Listens for other boxes: accepts their connections, hands them to the gRPC server, and observes its calls. The server's
 * own listener accepts any number of connections and has no way to close one.
 */
import { createServer, type Socket } from "node:net";
import {
  ServerCredentials,
  ServerInterceptingCall,
  type Server,
  type ServerInterceptingCallInterface,
  type ServerInterceptor,
} from "@grpc/grpc-js";
import { listenOn } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import { findStream, joinPieces } from "./joinPieces.js";
import type { PeerConnections } from "./peerConnections.js";
import type { Reading } from "./pieceTurns.js";

/** Formats the peer of a connection as the library does; undefined if the connection has ended already. */
const formatPeer = ({ remoteAddress, remotePort }: Socket): string | undefined =>
  remoteAddress === undefined ? undefined : `${remoteAddress}:${String(remotePort)}`;

/** What reads from a socket; the HTTP/2 library takes it over, so that the socket itself can't be paused. */
type SocketHandle = Readonly<{ readStop: () => void; readStart: () => void }>;

const findReading = (socket: Socket): Reading => {
  const find = () => (socket as { _handle?: SocketHandle })._handle;
  return { stop: () => find()?.readStop(), start: () => find()?.readStart() };
};

/** Options of the observer of calls. */
export type CallObserverOptions = Readonly<{
  connections: PeerConnections;
  /** Bytes of all messages that were encoded so far. */
  countEncoded: () => number;
}>;

/** Creates what reports calls, and the messages on them, to the connections that they came on. */
export const createCallObserver =
  ({ connections, countEncoded }: CallObserverOptions): ServerInterceptor =>
  (_method, call) => {
    const opened = connections.openCall(call.getPeer());
    const stream = findStream(call);
    if (stream) joinPieces(stream, opened);
    const sendMessage = (message: unknown, onSent: () => void) => {
      const before = countEncoded();
      let release = () => undefined as void;
      call.sendMessage(message, () => {
        release();
        onSent();
      });
      release = opened.holdBytes(countEncoded() - before);
    };
    const counted: ServerInterceptingCallInterface = {
      start: (listener) => call.start(listener),
      sendMetadata: (metadata) => call.sendMetadata(metadata),
      sendMessage,
      sendStatus: (status) => call.sendStatus(status),
      startRead: () => call.startRead(),
      getPeer: () => call.getPeer(),
      getDeadline: () => call.getDeadline(),
      getHost: () => call.getHost(),
      getAuthContext: () => call.getAuthContext(),
      getConnectionInfo: () => call.getConnectionInfo(),
      getMetricsRecorder: () => call.getMetricsRecorder(),
    };
    return new ServerInterceptingCall(counted, {
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
    const added = { destroy: () => socket.destroy(), reading: findReading(socket) };
    if (peer === undefined || !connections.add(peer, added)) {
      socket.destroy();
      return;
    }
    socket.once("close", () => connections.remove(peer, added));
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
