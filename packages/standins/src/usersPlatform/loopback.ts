/** HTTP helpers of the stand-ins: listening on loopback, reading whole bodies, sending JSON. */
import { Server as HttpServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Server } from "node:net";
import { listenOn } from "@stairgauge/common";
import { LOOPBACK, reservePort } from "./reservePort.js";

/** A server that listens on loopback. */
export type Listening = Readonly<{
  /** IP:PORT. */
  address: string;
  close: () => void;
}>;

/** A port that was given up may be taken for a moment by a connection of any process of the machine. */
const RETRY_MS = 50;
const MAX_TRIES = 200;

/** Listens once the port is free; rejects after ten seconds. */
const listenOnceFree = async (server: Server, port: number): Promise<void> => {
  for (let tries = 1; ; tries += 1) {
    try {
      await listenOn(server, { host: LOOPBACK, port });
      return;
    } catch (error) {
      const isTaken = (error as NodeJS.ErrnoException).code === "EADDRINUSE";
      if (!isTaken || tries >= MAX_TRIES) throw error;
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
};

/** Health check path of every stand-in server; the answer names the server's instance id. */
export const HEALTH_PATH = "/healthz";

/**
 * Listens on the given loopback port, or on any free one if it is 0. That one is given to nobody else while this process lives: boxes go
 * on calling a server that has ended, and a server of another test at its port would record their calls as its own.
 */
export const listenOnLoopback = async (
  server: Server,
  atPort = 0,
): Promise<Listening> => {
  const port = atPort === 0 ? (await reservePort()).port : atPort;
  await listenOnceFree(server, port);
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
