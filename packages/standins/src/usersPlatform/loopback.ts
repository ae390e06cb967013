/** Small helpers of the stand-ins: a listener on loopback, whole bodies, JSON answers. */
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

/** Path at which every server of the stand-ins says whether it is well, and which one it is. */
export const HEALTH_PATH = "/healthz";

/** Listens on a port, any free one unless it is named. */
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

/** Reads a body whole. */
export const readWhole = async (incoming: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/** Answers with JSON. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  response.writeHead(status, { "Content-Type": "application/json", ...headers });
  response.end(JSON.stringify(body));
};
