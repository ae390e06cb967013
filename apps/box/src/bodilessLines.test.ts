/**
 * An answer to HEAD, and one with status 204 or 304, has no body and ends with its head, whatever its headers say. The lines
 * about such an attempt derive its framing from the headers alone, and say that it ended with its connection, in order: who
 * looks for answers that were cut finds ones that could not be.
 */
import { expect, it } from "vitest";
import type { EngineScript } from "@stairgauge/standins";
import { ask } from "./box.testkit.js";
import { startScriptedSite } from "./scripted.testkit.js";

/** Sends a head alone; the connection stays open. */
const sendHead =
  (status: string, more = ""): EngineScript =>
  ({ socket, requestId }) =>
    void socket.write(`HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\n${more}\r\n`);

it.each([
  ["HEAD", "500 Internal Server Error"],
  ["GET", "204 No Content"],
])(
  "the line about %s, %s does not say that its connection ended it",
  async (method, status) => {
    const { ports, lines } = await startScriptedSite(
      [sendHead(status), sendHead(status, "Response-Signature: s\r\n")],
      "pages",
    );
    await ask(ports, { path: "/again/", method, body: "" });
    const retry = lines.find(({ event }) => event === "retry");
    expect(retry).toBeDefined();
    expect(retry).not.toMatchObject({ framing: "connection" });
    expect(retry).toMatchObject({ closed: "by_framing" });
  },
);
