/** HTTP helpers of the stand-ins: listening on loopback, reading whole bodies, sending JSON. */
import { Server as HttpServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Server } from "node:net";

/** A server that listens on loopback. */
export type Listening = Readonly<{
  /** IP:PORT. */
  address: string;
  close: () => void;
}>;

const LOOPBACK = "127.0.0.1";

/** Health check path of every stand-in server; the answer names the server's instance id. */
export const HEALTH_PATH = "/healthz";

/** Listens on the given loopback port, or on any free one if it is 0. */
export const listenOnLoopback = async (
  server: Server,
  atPort = 0,
): Promise<Listening> => {
  await new Promise<void>((resolve) => server.listen(atPort, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `${LOOPBACK}:${port}`,
    close: () => {
      server.close();
      if (server instanceof HttpServer) server.closeAllConnections();
    },
  };
};

/** Reads a whole body. */
export const readWhole = async (incoming: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/** Sends a JSON answer. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  response.writeHead(status, { "Content-Type": "application/json", ...headers });
  response.end(JSON.stringify(body));
};
