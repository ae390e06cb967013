/** Guards against answering 408 to clients whose requests arrived in time. */
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, stopEventLoop, type Ms } from "@stairgauge/common";
import {
  createClientServer,
  type ClientServer,
  type ClientServerOptions,
} from "./clientServer.js";
import type { ClientLimit } from "./connectionReader.js";

const HEADER_TIME = 200 as Ms;

/** The time limits of connections are checked twice a second. */
const CHECKED_AFTER = 700 as Ms;

const HEAD = "GET / HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n";

/** Options that no test here is about. */
const OPTIONS: Omit<ClientServerOptions, "handle"> = {
  clock: createSystemClock(),
  getMaxConnections: () => 10,
  maxUnreadBytes: 1_000_000,
  intake: { hasRoom: () => true, recordTurnedAway: () => undefined },
  isBusy: () => false,
  unreadLimit: { get: () => undefined },
  onClientError: () => undefined,
  onLimit: () => undefined,
};

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("createClientServer", () => {
  let server: ClientServer;
  afterEach(() => server.close());

  const start = async () => {
    const faults: string[] = [];
    server = createClientServer({
      ...OPTIONS,
      handle: (_, response) => response.end("served"),
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

/** Guards against clients that send many requests ahead: each would be open at once. */
describe("createClientServer, requests sent ahead", () => {
  let server: ClientServer;
  afterEach(() => server.close());

  const REQUEST = "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n";
  const UPLOAD = `POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 5000\r\n\r\n${"x".repeat(5_000)}`;

  const start = async (maxUnreadBytes = 1_000_000) => {
    const open: ServerResponse[] = [];
    const countUnread: (() => void)[] = [];
    const limits: ClientLimit[] = [];
    server = createClientServer({
      ...OPTIONS,
      handle: (incoming, response, count) => {
        incoming.resume();
        open.push(response);
        countUnread.push(count);
      },
      maxUnreadBytes,
      onLimit: (limit) => limits.push(limit),
    });
    const port = await server.listen("127.0.0.1", 0);
    const connectClient = () => {
      const socket = connect({ host: "127.0.0.1", port, noDelay: true });
      let received = "";
      let isClosed = false;
      socket.on("data", (bytes) => {
        received += bytes.toString();
      });
      socket.on("error", () => undefined);
      socket.on("close", () => {
        isClosed = true;
      });
      return { socket, getReceived: () => received, isClosed: () => isClosed };
    };
    return { open, countUnread, limits, connectClient };
  };
  const waitUntil = async (isMet: () => boolean) => {
    while (!isMet()) await wait(2);
  };

  it.each([
    ["without a body", REQUEST],
    ["with a body", UPLOAD],
  ])("begins the next one once the one before was answered, %s", async (_, request) => {
    const { open, connectClient } = await start();
    const { socket, getReceived } = connectClient();
    socket.write(request.repeat(40));
    for (let i = 0; i < 40; i += 1) {
      await waitUntil(() => open.length > i);
      await wait(2);
      // The piece with the end of a body may hold the next head.
      expect(open.length).toBeLessThanOrEqual(i + (request === REQUEST ? 1 : 2));
      open[i]!.end(`answer ${i};`);
    }
    await waitUntil(() => getReceived().includes("answer 39;"));
    const answers = [...getReceived().matchAll(/answer (\d+);/g)].map(([, i]) =>
      Number(i),
    );
    expect(answers).toEqual(Array.from({ length: 40 }, (__, i) => i));
  });

  it.each([
    ["a few", 3, 1_000_000],
    ["more than is read", 10_000, 1_000_000],
    ["more than there is memory for", 10_000, 100_000],
  ])(
    "sees that the client has left while a request is open and others wait: %s",
    async (_, ahead, maxBytes) => {
      const { open, connectClient } = await start(maxBytes);
      const { socket } = connectClient();
      socket.write(REQUEST.repeat(ahead));
      await waitUntil(() => open.length === 1);
      await wait(1_200);
      let hasLeft = false;
      open[0]!.once("close", () => {
        hasLeft = true;
      });
      socket.destroy();
      await waitUntil(() => hasLeft);
      expect(open.length).toBe(1);
    },
  );

  it("drops what waits longest where there is too much, and answers the open request before it closes", async () => {
    const { open, limits, connectClient } = await start(2_000);
    const first = connectClient();
    first.socket.write(REQUEST.repeat(30));
    await waitUntil(() => open.length === 1);
    const second = connectClient();
    second.socket.write(REQUEST.repeat(30));
    await waitUntil(() => open.length === 2);
    open[0]!.end("answered");
    await waitUntil(first.isClosed);
    expect(first.getReceived()).toMatch(/Connection: close[^]*answered/);
    open[1]!.end("answered");
    await waitUntil(() => open.length === 3);
    expect(second.getReceived()).not.toMatch(/Connection: close/);
    expect(limits).toEqual(["sent_ahead"]);
  });

  it("closes the connection whose answer was not read for longest where answers take too much memory", async () => {
    const { open, limits, connectClient } = await start(40_000_000);
    const clients = [1, 2].map(() => connectClient());
    for (const [i, { socket }] of clients.entries()) {
      socket.pause();
      socket.write(REQUEST);
      await waitUntil(() => open.length > i);
    }
    let isFirstClosed = false;
    open[0]!.once("close", () => {
      isFirstClosed = true;
    });
    open[0]!.end(Buffer.alloc(30_000_000, "x"));
    await wait(20);
    expect(isFirstClosed).toBe(false);
    open[1]!.end(Buffer.alloc(30_000_000, "x"));
    await waitUntil(() => isFirstClosed);
    clients[1]!.socket.resume();
    await waitUntil(() => clients[1]!.getReceived().length > 30_000_000);
    expect(limits).toEqual(["answer_unread"]);
  });

  /** Guards against answers that go on whose clients read nothing: each holds what its server was ahead. */
  it("closes the connection whose answer goes on and was not read for longest where answers take too much memory", async () => {
    const { open, countUnread, limits, connectClient } = await start(40_000_000);
    const clients = [1, 2].map(() => connectClient());
    for (const [i, { socket }] of clients.entries()) {
      socket.pause();
      socket.write(REQUEST);
      await waitUntil(() => open.length > i);
    }
    let isFirstClosed = false;
    open[0]!.once("close", () => {
      isFirstClosed = true;
    });
    const writePart = (i: number) => {
      expect(open[i]!.write(Buffer.alloc(30_000_000, "x"))).toBe(false);
      countUnread[i]!();
    };
    writePart(0);
    await wait(20);
    expect(isFirstClosed).toBe(false);
    writePart(1);
    await waitUntil(() => isFirstClosed);
    expect(limits).toEqual(["answer_unread"]);
    clients[1]!.socket.resume();
    await waitUntil(() => open[1]!.writableLength === 0);
    writePart(1);
    open[1]!.end("whole");
    await waitUntil(() => clients[1]!.getReceived().includes("whole"));
    expect(limits).toEqual(["answer_unread"]);
  });

  it.each([
    ["a request without a host", "GET / HTTP/1.1\r\n\r\n", 400],
    [
      "an expectation that it can't meet",
      "GET / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n",
      417,
    ],
  ])("refuses %s and closes", async (_, request, status) => {
    const { open, connectClient } = await start();
    const { socket, getReceived, isClosed } = connectClient();
    socket.write(request + REQUEST);
    await waitUntil(isClosed);
    expect(getReceived()).toMatch(
      new RegExp(`^HTTP/1.1 ${status} [^]*Connection: close`),
    );
    expect(open).toEqual([]);
  });
});

/** Guards against connections that outlive their server, whose client reads the last answer and leaves its own side open. */
describe("createClientServer, behind the last answer of a connection", () => {
  it("closes the connection with the server", async () => {
    const server = createClientServer({
      ...OPTIONS,
      handle: (_, response) => response.end("served"),
    });
    const port = await server.listen("127.0.0.1", 0);
    const socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
    let isClosed = false;
    socket.on("error", () => undefined);
    socket.on("close", () => {
      isClosed = true;
    });
    socket.resume();
    socket.write(HEAD);
    await new Promise((resolve) => socket.once("end", resolve));
    server.close();
    // A client learns that the other side is closed as well by a write.
    while (!isClosed) {
      socket.write("more");
      await wait(2);
    }
  }, 1_500);
});

/** Guards against clients that connect and send no request, until no one else gets a connection. */
describe("createClientServer, at its limit of connections", () => {
  let server: ClientServer;
  afterEach(() => server.close());

  it("closes the connection that has been idle longest for a new one, and none with an open request", async () => {
    const limits: ClientLimit[] = [];
    server = createClientServer({
      ...OPTIONS,
      handle: (incoming, response) => {
        if (incoming.url !== "/open") response.end("served");
      },
      getMaxConnections: () => 3,
      maxUnreadBytes: 1_000,
      onLimit: (limit) => limits.push(limit),
    });
    const port = await server.listen("127.0.0.1", 0);
    const closed: string[] = [];
    const openClient = async (name: string, request: string) => {
      const socket = connect({ host: "127.0.0.1", port, noDelay: true });
      socket.on("close", () => closed.push(name));
      const answered = new Promise((resolve) => {
        socket.on("data", resolve);
        socket.on("close", resolve);
      });
      await new Promise((resolve) => socket.on("connect", resolve));
      socket.write(request);
      await wait(20);
      return { socket, answered };
    };
    const formatRequest = (path: string) =>
      `GET ${path} HTTP/1.1\r\nHost: site.example\r\n\r\n`;
    await openClient("with a request", formatRequest("/open"));
    await openClient("silent", "GET /");
    await openClient("also silent", "");
    await wait(300);
    const { answered } = await openClient("new", formatRequest("/"));
    expect(String(await answered)).toMatch(/served/);
    expect(closed).toEqual(["silent"]);
    expect(limits).toEqual(["idle"]);
  });
});
