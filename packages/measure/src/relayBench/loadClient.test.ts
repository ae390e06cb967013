/** Guards against a bench that waits forever for streams that can't be opened. */
import { createServer, type RequestListener } from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import { listenOnLoopback } from "@stairgauge/standins";
import { createLoadClient } from "./loadClient.js";

const TOKEN = `data: {"t":"${performance.now()}"}\n\n`;

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

const openStreams = async (streams: number, answer: RequestListener) => {
  const { address, close } = await listenOnLoopback(createServer(answer));
  const url = `http://${address}/draft/`;
  const client = createLoadClient({ url, headers: {}, body: "{}", streams });
  closers.push(client.close, close);
  return client;
};

describe("createLoadClient", () => {
  it("waits until all streams have received a token", async () => {
    const client = await openStreams(3, (_, response) => response.write(TOKEN));
    await client.waitForAll();
    expect(client.countTokens()).toBe(3);
  });

  it.each<[string, RequestListener]>([
    ["refused", (_, response) => response.writeHead(503).end()],
    ["closed unread", (incoming) => incoming.socket.destroy()],
    ["ended", (_, response) => response.writeHead(200).end()],
  ])("fails if one stream is %s", async (_, answerLast) => {
    let sequence = 0;
    const client = await openStreams(3, (incoming, response) => {
      sequence += 1;
      if (sequence < 3) response.write(TOKEN);
      else answerLast(incoming, response);
    });
    await expect(client.waitForAll()).rejects.toThrow(/^stream \d of 3/);
  });
});
