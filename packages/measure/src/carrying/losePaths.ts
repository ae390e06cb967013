/**
 * Imported before the program of a box that is measured: connections to the ports in the query of its
 * URL are refused, as over a lost path.
 */
import net from "node:net";

/** Nothing listens on this port of the loopback address. */
const CLOSED_PORT = 1;

const query = new URL(import.meta.url).searchParams;
const lostPorts = new Set((query.get("ports") ?? "").split(",").map(Number));
const connectAnywhere = net.connect;

net.connect = ((options: net.TcpNetConnectOpts, ...rest: never[]) => {
  const target = lostPorts.has(options.port)
    ? { ...options, port: CLOSED_PORT }
    : options;
  return connectAnywhere(target, ...rest);
}) as typeof net.connect;
