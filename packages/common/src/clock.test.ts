/** Guards against an answer that counts as missing although it had arrived while the process was suspended. */
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createSystemClock } from "./clock.js";
import { runWithin } from "./runWithin.js";
import { stopEventLoop } from "./stopEventLoop.js";
import type { Ms } from "./types.js";

const HOST = "127.0.0.1";
const LIMIT = 50 as Ms;
const SUSPENSION = 200 as Ms;

describe("a time limit of the system clock", () => {
  const clock = createSystemClock();
  let ends: readonly [Socket, Socket];
  beforeEach(async () => {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const near = connect((server.address() as AddressInfo).port, HOST);
    const [far] = (await once(server, "connection")) as [Socket];
    await once(near, "connect");
    server.close();
    ends = [near, far];
  });
  afterEach(() => ends.forEach((end) => end.destroy()));

  const awaitByte = (near: Socket) =>
    runWithin(clock, LIMIT, (signal) =>
      Promise.race([
        once(near, "data").then(() => "read"),
        once(signal, "abort").then(() => (signal.reason as Error).name),
      ]),
    );

  it("is not reached by a wait for bytes that arrived while the process was suspended", async () => {
    const [near, far] = ends;
    const result = awaitByte(near);
    far.write("a");
    stopEventLoop(SUSPENSION);
    expect(await result).toBe("read");
  });

  it("is reached by a wait for bytes that have not arrived", async () => {
    const [near] = ends;
    const result = awaitByte(near);
    stopEventLoop(SUSPENSION);
    expect(await result).toBe("TimeoutError");
  });

  it("is not reported if it is cancelled by a timer that is due at the same time", async () => {
    let isReached = false;
    const limit = clock.setTimeLimit(LIMIT, () => {
      isReached = true;
    });
    clock.setTimer(LIMIT, limit.cancel);
    stopEventLoop(SUSPENSION);
    await new Promise((resolve) => setTimeout(resolve, LIMIT));
    expect(isReached).toBe(false);
  });
});
