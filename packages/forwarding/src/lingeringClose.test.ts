/** Guards against connections that stay open behind their last answer for as long as their clients like. */
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import type { ReadTurns } from "@stairgauge/saturation";
import { createLingeringCloses } from "./lingeringClose.js";

const turns: ReadTurns = { read: ({ readPiece }) => void readPiece() };
const waitUntil = async (isMet: () => boolean) => {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 1));
};

describe("createLingeringCloses", () => {
  const closers: (() => unknown)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  /** A connection that lingers; `passTime` lets the time pass after which the client counts as quiet. */
  const start = async () => {
    let passTime = () => undefined as unknown;
    let limits = 0;
    const clock = {
      setTimer: (after: number, run: () => void) => {
        if (after >= 1_000) passTime = run;
        else setImmediate(run);
        return { cancel: () => undefined };
      },
    };
    const server = createServer({ allowHalfOpen: true }).listen(0, "127.0.0.1");
    closers.push(() => server.close());
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const client = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    closers.push(() => client.destroy());
    client.on("error", () => undefined);
    const [socket] = (await once(server, "connection")) as [Socket];
    createLingeringCloses({ clock, turns }).close(socket, () => (limits += 1));
    return { client, socket, passTime: () => passTime(), countLimits: () => limits };
  };
  const sendMore = async (client: Socket, socket: Socket) => {
    const { bytesRead } = socket;
    client.write("more");
    await waitUntil(() => socket.bytesRead > bytesRead && socket.readableLength === 0);
  };

  it("closes with its client", async () => {
    const { client, socket, countLimits } = await start();
    await sendMore(client, socket);
    client.end();
    await waitUntil(() => socket.closed);
    expect(countLimits()).toBe(0);
  });

  it("closes once its client is quiet, and not while it sends", async () => {
    const { client, socket, passTime, countLimits } = await start();
    await sendMore(client, socket);
    passTime();
    expect(socket.destroyed).toBe(false);
    passTime();
    expect({ isClosed: socket.destroyed, limits: countLimits() }).toEqual({
      isClosed: true,
      limits: 0,
    });
  });

  it("closes in the end on a client that sends slowly without end", async () => {
    const { client, socket, passTime, countLimits } = await start();
    let periods = 0;
    for (; !socket.destroyed; periods += 1) {
      await sendMore(client, socket);
      passTime();
    }
    expect({ periods, limits: countLimits() }).toEqual({ periods: 5, limits: 1 });
  });
});
