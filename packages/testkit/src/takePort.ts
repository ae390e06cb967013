import { createServer } from "node:net";
import { listenOn } from "@stairgauge/common";

/** Listens at a port of loopback, as a process does that holds it; returns what releases it. */
export const takePort = async (port: number): Promise<() => void> => {
  const server = createServer();
  await listenOn(server, { host: "127.0.0.1", port });
  return () => void server.close();
};
