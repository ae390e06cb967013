import { createServer, type AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, type Clock, type Ms } from "@stairgauge/common";
import { askListener } from "./askListener.js";

const HOST = "127.0.0.1";
const LIMIT = 5_000 as Ms;

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

const listen = async () => {
  const server = createServer(
    (socket) => void socket.resume().on("error", () => undefined),
  );
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const close = () => new Promise((resolve) => server.close(resolve));
  return { address: { host: HOST, port: (server.address() as AddressInfo).port }, close };
};

describe("askListener", () => {
  it("hears a process that listens", async () => {
    const { address, close } = await listen();
    closers.push(close);
    expect(await askListener(createSystemClock(), address, LIMIT)).toBe("listens");
  });

  it("hears that nobody listens any more", async () => {
    const { address, close } = await listen();
    await close();
    expect(await askListener(createSystemClock(), address, LIMIT)).toBe("refuses");
  });

  it("gives up after its limit", async () => {
    const system = createSystemClock();
    const clock: Clock = {
      ...system,
      setTimer: (_after, run) => {
        queueMicrotask(run);
        return { cancel: () => undefined };
      },
    };
    const { address, close } = await listen();
    closers.push(close);
    expect(await askListener(clock, address, LIMIT)).toBe("silent");
  });
});
