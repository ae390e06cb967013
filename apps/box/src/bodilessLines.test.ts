/**
 * Guards against log lines that derive the framing of an answer from its headers alone. An
 * answer to HEAD or with status 204 or 304 has no body and ends with its head. A line stating
 * that it ended with its connection would make it look like an answer that may have been cut.
 */
import { expect, it } from "vitest";
import type { EngineScript } from "@stairgauge/standins";
import { ask } from "./box.testkit.js";
import { startScriptedSite } from "./scripted.testkit.js";

/** Sends only a head; the connection stays open. */
const sendHead =
  (status: string, extraHeaders = ""): EngineScript =>
  ({ socket, requestId }) =>
    void socket.write(
      `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\n${extraHeaders}\r\n`,
    );

it.each([
  ["HEAD", "500 Internal Server Error"],
  ["GET", "204 No Content"],
])(
  "the log line about an answer to %s with status %s doesn't state that its connection ended it",
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
