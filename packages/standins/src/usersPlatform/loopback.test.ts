/** Guards against a test that ends by an uncaught error because the port of a restarted server is taken for a moment. */
import { createServer } from "node:net";
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
