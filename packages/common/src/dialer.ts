/** Opens TCP connections. */
import { connect, type Socket } from "node:net";

/** Starts a connection to a host and port; the socket reports when it is established or has failed. */
export type Dialer = (address: Readonly<{ host: string; port: number }>) => Socket;

/** Connects over TCP. The socket stays writable after the other end has closed its side. */
export const connectTcp: Dialer = ({ host, port }) =>
  connect({ host, port, noDelay: true, allowHalfOpen: true });
