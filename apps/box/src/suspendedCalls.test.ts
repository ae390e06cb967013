/** Guards against answers of servers that count as missing because the box was suspended when they arrived. */
import { describe, expect, it } from "vitest";
import { stopEventLoop, type Ms } from "@stairgauge/common";
import type { EngineScript } from "@stairgauge/standins";
import { ask } from "./box.testkit.js";
import { startScriptedSite } from "./scripted.testkit.js";

/** Longer than the time limit of the route that is asked. */
const SUSPENSION = 400 as Ms;

const answerAndSuspend: EngineScript = ({ socket, requestId }) => {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n`;
  socket.write(`${head}Content-Length: 2\r\n\r\nok`);
  stopEventLoop(SUSPENSION);
};

describe("an answer that arrived in time while its box was suspended", () => {
  it("is passed on", async () => {
    const { ports } = await startScriptedSite([answerAndSuspend], "pages");
    const answer = await ask(ports, { path: "/short/" });
    expect(answer).toMatchObject({ status: 200, body: "ok", isWhole: true });
  });
});
