/** Ends of long plain answers and of client bodies, with a complete box. */
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { ask } from "./box.testkit.js";
import { sendAndLeave, startScriptedSite } from "./scripted.testkit.js";

/** Longer than what a box buffers plus what the sockets in between hold. */
const LONG = "abcdefghi\n".repeat(300_000);
const PATH = "/once/";

describe("a long answer without a length or chunks", () => {
  it("is passed on as complete if its server's process still runs", async () => {
    const { ports } = await startScriptedSite(
      [
        ({ socket, requestId }) =>
          void socket.end(
            `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n\r\n${LONG}`,
          ),
      ],
      "pages",
    );
    const answer = await ask(ports, { path: PATH });
    expect(answer.isWhole).toBe(true);
    expect(answer.body === LONG).toBe(true);
  });

  it("is broken off if its server's process has exited", async () => {
    const { ports } = await startScriptedSite([sendAndLeave("200 OK", LONG)], "pages");
    const answer = await ask(ports, { path: PATH });
    expect(answer).toMatchObject({ status: 200, isWhole: false });
  });
});

describe("a client's body that is cut off", () => {
  it.each([
    ["within its length", "Content-Length: 50\r\n\r\nhalf"],
    ["after a chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"],
    ["within a chunk", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"],
  ])(
    "%s reaches no server, whether the connection closes or is reset",
    async (_where, remainder) => {
      const { ports, listCalls } = await startScriptedSite([], "pages");
      for (const isReset of [false, true])
        await new Promise<void>((resolve) => {
          const head = `POST ${PATH} HTTP/1.1\r\nHost: ${SITE_HOST}\r\nRequest-Id: r\r\nAuthorization: Token ${SITE_KEY}\r\n`;
          const socket = connect(ports.clients, "127.0.0.1", () =>
            socket.write(head + remainder, () => {
              if (isReset) setTimeout(() => socket.resetAndDestroy(), 20);
              else socket.end();
            }),
          );
          socket.on("error", () => undefined).resume();
          socket.on("close", () => resolve());
        });
      // Only a complete request sent afterwards reaches the server.
      await ask(ports, { path: PATH, id: "whole" });
      expect(listCalls().map(({ requestId }) => requestId)).toEqual(["whole"]);
    },
  );
});
