/** Small helpers of the stand-ins: a listener on loopback, whole bodies, JSON answers. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A server that listens on loopback. */
export type Listening = Readonly<{
  /** IP:PORT. */
  address: string;
  close: () => void;
}>;

const LOOPBACK = "127.0.0.1";

/** Listens on any free port. */
export const listenOnLoopback = async (server: Server): Promise<Listening> => {
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `${LOOPBACK}:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
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
