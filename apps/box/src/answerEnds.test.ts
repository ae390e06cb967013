/** Ends of long plain answers and of clients' bodies, before a whole box. */
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { ask } from "./box.testkit.js";
import { sendAndLeave, startScriptedSite } from "./scripted.testkit.js";

/** Longer than what a box holds back, and than what the sockets on the way take. */
const LONG = "abcdefghi\n".repeat(300_000);
const PATH = "/once/";

describe("a long answer without a length or chunks", () => {
  it("comes whole from a server that is still there", async () => {
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

  it("is broken off when its server's process is gone", async () => {
    const { ports } = await startScriptedSite([sendAndLeave("200 OK", LONG)], "pages");
    const answer = await ask(ports, { path: PATH });
    expect(answer).toMatchObject({ status: 200, isWhole: false });
  });
});

describe("a client's body that is cut", () => {
  it.each([
    ["within its length", "Content-Length: 50\r\n\r\nhalf"],
    ["behind a chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"],
    ["within a chunk", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"],
  ])("%s reaches no server, however its connection ends", async (_where, rest) => {
    const { ports, listCalls } = await startScriptedSite([], "pages");
    for (const isReset of [false, true])
      await new Promise<void>((resolve) => {
        const head = `POST ${PATH} HTTP/1.1\r\nHost: ${SITE_HOST}\r\nRequest-Id: r\r\nAuthorization: Token ${SITE_KEY}\r\n`;
        const socket = connect(ports.clients, "127.0.0.1", () =>
          socket.write(head + rest, () => {
            if (isReset) setTimeout(() => socket.resetAndDestroy(), 20);
            else socket.end();
          }),
        );
        socket.on("error", () => undefined).resume();
        socket.on("close", () => resolve());
      });
    // A whole request behind them comes alone.
    await ask(ports, { path: PATH, id: "whole" });
    expect(listCalls().map(({ requestId }) => requestId)).toEqual(["whole"]);
  });
});
