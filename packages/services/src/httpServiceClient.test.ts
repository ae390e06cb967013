/**
 * An answer with neither a length nor chunks ends with its connection, and the kernel ends that in
 * order for a process that was killed: half an answer counted as whole, was passed on as complete, and was kept for
 * the repeats of a call that may run once.
 * An answer whose coding is not "chunked" ends with its connection all the same, and half of one still counts as whole.
 */
import { createServer, type AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createHttpServiceClient } from "./httpServiceClient.js";

const HOST = "127.0.0.1";
const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Calls a server that ends half way through its answer, and its address before. */
const callCutOff = async (framing: string, half: string) => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      server.close();
      socket.end(`HTTP/1.1 200 OK\r\n${framing}\r\n${half}`);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const client = createHttpServiceClient();
  closers.push(client.close);
  const { port } = server.address() as AddressInfo;
  return new Promise<string>((resolve) => {
    client.open(
      { address: `${HOST}:${port}`, method: "GET", path: "/", headers: {}, body: null },
      {
        onHead: () => undefined,
        onData: () => true,
        onEnd: () => resolve("whole"),
        onFailure: () => resolve("failed"),
      },
    );
  });
};

describe("an answer that is cut", () => {
  it.each([
    ["a length", "Content-Length: 9\r\n", "half"],
    ["chunks", "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n"],
    ["neither, its server's process gone", "", "half"],
    [
      "a coding other than chunks, its server's process gone",
      "Transfer-Encoding: gzip\r\n",
      "half",
    ],
  ])("has failed, with %s", async (_framing, framing, half) => {
    expect(await callCutOff(framing, half)).toBe("failed");
  });
});
