/**
 * Guards against a test that ends by an uncaught error because the port of a restarted server is taken for a moment, and
 * against a server that is given the port of one that has ended, so that it receives the calls of another test's box.
 */
import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";
import { expect, it } from "vitest";
import { listenOnLoopback } from "./loopback.js";

it("listens at a port once it is free", async () => {
  const first = await listenOnLoopback(createServer());
  const port = Number(first.address.split(":")[1]);
  const second = listenOnLoopback(createServer(), port);
  await new Promise((resolve) => setTimeout(resolve, 120));
  first.close();
  const { address, close } = await second;
  expect(address).toBe(first.address);
  close();
});

it("keeps the ports of servers that have ended from others", async () => {
  const ended = await Promise.all(
    Array.from({ length: 500 }, () => listenOnLoopback(createServer())),
  );
  for (const { close } of ended) close();
  const addresses = new Set(ended.map(({ address }) => address));
  const others = Array.from({ length: 1_000 }, () => createServer());
  const given: string[] = [];
  for (const other of others) {
    other.listen(0, "127.0.0.1");
    await once(other, "listening");
    const { port } = other.address() as AddressInfo;
    given.push(`127.0.0.1:${port}`);
  }
  for (const other of others) other.close();
  expect(given.filter((address) => addresses.has(address))).toEqual([]);
});
