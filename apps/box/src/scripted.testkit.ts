/** A box before servers whose answers are written byte by byte. */
import {
  createScriptedEngines,
  startUsersSite,
  type EngineScript,
} from "@stairgauge/standins";
import { closers, startBox, waitFor } from "./box.testkit.js";

/** An answer without a length or chunks, whose process ends right behind it. */
export const sendAndLeave =
  (status: string, body: string, more = ""): EngineScript =>
  ({ socket, requestId, leaveAddress }) => {
    leaveAddress();
    const head = `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n${more}\r\n`;
    socket.end(head + body);
  };

/** Two servers, engines or plain ones, that take the scripts in turn. */
export const startScriptedSite = async (
  scripts: readonly EngineScript[],
  service: "writers" | "pages",
) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const engines = createScriptedEngines(scripts);
  for (const id of ["server-a", "server-b"]) {
    const { address, close } = await engines.start(id);
    closers.push(close);
    site.store.put("servers", id, {
      service,
      address,
      zone: "hall-a",
      version: "v1",
      slots: 6,
      state: "ready",
      sequence: 1,
    });
  }
  const { ports, lines } = await startBox(site.store.address);
  site.putConfiguration();
  await waitFor(
    () => lines.filter(({ event }) => event === "server_joined").length === 2,
  );
  return { ports, lines, listCalls: engines.listCalls };
};
