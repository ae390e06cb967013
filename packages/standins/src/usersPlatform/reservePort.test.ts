/** Guards against servers that can't start again because another process was given their port while they were down. */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { expect, it } from "vitest";
import { listenOnLoopback } from "./loopback.js";
import { LOOPBACK, reservePort } from "./reservePort.js";

const attempt = async (port: number): Promise<string> => {
  const socket = connect(port, LOOPBACK);
  try {
    await once(socket, "connect");
    return "connected";
  } catch (error) {
    return String((error as NodeJS.ErrnoException).code);
  } finally {
    socket.destroy();
  }
};

it("keeps the port between two servers, and refuses connections meanwhile", async () => {
  const { port, release } = await reservePort();
  for (let starts = 0; starts < 3; starts += 1) {
    expect(await attempt(port)).toBe("ECONNREFUSED");
    const { address, close } = await listenOnLoopback(createServer(), port);
    expect(address).toBe(`${LOOPBACK}:${port}`);
    expect(await attempt(port)).toBe("connected");
    close();
  }
  release();
});

it("reserves ports that differ", async () => {
  const reserved = await Promise.all(Array.from({ length: 50 }, reservePort));
  expect(new Set(reserved.map(({ port }) => port)).size).toBe(50);
  for (const { release } of reserved) release();
});
