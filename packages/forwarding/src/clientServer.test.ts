/** Guards against answering 408 to clients whose requests arrived in time. */
import { connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { stopEventLoop, type Ms } from "@stairgauge/common";
import { createClientServer, type ClientServer } from "./clientServer.js";

const HEADER_TIME = 200 as Ms;

/** The time limits of connections are checked twice a second. */
const CHECKED_AFTER = 700 as Ms;

const HEAD = "GET / HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n";

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("createClientServer", () => {
  let server: ClientServer;
  afterEach(() => server.close());

  const start = async () => {
    const faults: string[] = [];
    server = createClientServer({
      clock: { monotonic: () => performance.now() as Ms },
      handle: (_, response) => response.end("served"),
      maxConnections: 10,
      intake: { hasRoom: () => true, recordTurnedAway: () => undefined },
      isBusy: () => false,
      unreadLimit: { get: () => undefined },
      onClientError: (code) => faults.push(code),
    });
    server.applyLimits({
      headerBytes: 1_000,
      bodyBytes: 1_000,
      headerTime: HEADER_TIME,
      idleTime: 1_000 as Ms,
    });
    const port = await server.listen("127.0.0.1", 0);
    const socket = connect({ host: "127.0.0.1", port, noDelay: true });
    let received = "";
    socket.on("data", (bytes) => {
      received += bytes.toString();
    });
    const ended = new Promise((resolve) => socket.on("close", resolve));
    await new Promise((resolve) => socket.on("connect", resolve));
    while (server.countUnused() === 0) await wait(1);
    await wait(20);
    return { socket, faults, receiveAll: () => ended.then(() => received) };
  };

  // Guards against refusing what arrived while the process was suspended.
  it("serves a request that arrived in time although the process was suspended until after its limit", async () => {
    const { socket, faults, receiveAll } = await start();
    // Timers that are due run next, before the event loop reads from sockets.
    setImmediate(() => {
      socket.write(HEAD);
      stopEventLoop(CHECKED_AFTER);
    });
    expect(await receiveAll()).toMatch(/^HTTP\/1\.1 200[^]*served/);
    expect(faults).toEqual([]);
  });

  it("refuses a head that doesn't come in time, whole or in part", async () => {
    for (const part of ["", HEAD.slice(0, 20)]) {
      const { socket, faults, receiveAll } = await start();
      socket.write(part);
      expect(await receiveAll()).toMatch(/^HTTP\/1\.1 408/);
      expect(faults).toEqual(["ERR_HTTP_REQUEST_TIMEOUT"]);
      server.close();
    }
  });
});
