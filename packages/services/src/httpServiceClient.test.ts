/**
 * Guards against a truncated answer that is treated as complete. An answer with neither a length nor
 * chunked coding ends when its connection closes. The kernel also closes the connections of a killed
 * process normally, so half an answer looked complete, was forwarded, and was stored for the repeats
 * of a call that may run only once. The same holds for any transfer coding other than chunked.
 */
import { createServer, type AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createHttpServiceClient } from "./httpServiceClient.js";

const HOST = "127.0.0.1";
const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Calls a server that closes the connection in the middle of its answer; resolves to how the call ended. */
const callTruncatingServer = async (framing: string, half: string) => {
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

describe("an answer that is truncated", () => {
  it.each([
    ["a length", "Content-Length: 9\r\n", "half"],
    ["chunks", "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n"],
    ["neither a length nor chunks, after its server's process was killed", "", "half"],
    [
      "a coding other than chunked, after its server's process was killed",
      "Transfer-Encoding: gzip\r\n",
      "half",
    ],
  ])("is reported as failed, with %s", async (_framing, framing, half) => {
    expect(await callTruncatingServer(framing, half)).toBe("failed");
  });
});
