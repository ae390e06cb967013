/**
 * A server's process that was killed or replaced closes its connections in order, like one that has said all. What its
 * address says right after tells them apart, and only an answer of the same server speaks for it: a process that is
 * ending may still take a connection, and resets it.
 */
import { createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, type Clock, type Ms } from "@stairgauge/common";
import type { ServerName } from "@stairgauge/directory";
import { askServer, type ServerQuestion } from "./askServer.js";
import type { AnswerHead } from "./types.js";

const HOST = "127.0.0.1";
const ASKED = "server-1" as ServerName;
const STARTED_AT = 1_700_000_000_000 as Ms;

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

const listen = async (takeCall: (socket: Socket) => void) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => takeCall(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const close = () => {
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => server.close(resolve));
  };
  return { address: { host: HOST, port: (server.address() as AddressInfo).port }, close };
};

const codec: ServerQuestion["codec"] = {
  encodeHealthCall: ({ name }) => ["Host", HOST, "Expect", name],
  decodeAnswer: (status, headers) =>
    ({
      isOtherServer: status === 421,
      server: headers[headers.indexOf("Server") + 1],
    }) as AnswerHead,
  decodeHealthBody: (body) =>
    body.length === 0 ? undefined : (Number(body.toString()) as Ms),
};
const ask = (
  address: { host: string; port: number },
  clock: Clock = createSystemClock(),
  startedAt?: Ms,
) =>
  askServer({
    clock,
    codec,
    entry: { name: ASKED, address, startedAt },
    healthPath: "/well",
    connectLimit: 5_000 as Ms,
  });

const askOne = async (takeCall: (socket: Socket) => void) => {
  const { address, close } = await listen(takeCall);
  closers.push(close);
  return await ask(address);
};
const sendAnswer = (status: string, server: string) => (socket: Socket) =>
  socket.end(`HTTP/1.1 ${status}\r\nServer: ${server}\r\nContent-Length: 0\r\n\r\n`);

describe("askServer", () => {
  it.each(["200 OK", "503 Service Unavailable"])(
    "hears a server that answers %s",
    async (status) => {
      expect(await askOne(sendAnswer(status, ASKED))).toMatchObject({ kind: "present" });
    },
  );

  it.each([
    ["200 OK", "server-2"],
    ["421 Misdirected Request", ASKED],
  ])("hears another server at its address by %s of %s", async (status, server) => {
    expect(await askOne(sendAnswer(status, server))).toMatchObject({
      kind: "absent",
      cause: "ended",
    });
  });

  it.each([
    ["the same start", String(STARTED_AT), "present"],
    ["a later one", String(STARTED_AT + 5), "absent"],
    ["none", "", "present"],
  ])("hears which start answers by its name: %s", async (_what, body, kind) => {
    const { address, close } = await listen((socket) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nServer: ${ASKED}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ),
    );
    closers.push(close);
    expect(await ask(address, undefined, STARTED_AT)).toMatchObject({ kind });
  });

  it("goes by the head of an answer whose body does not end", async () => {
    const { address, close } = await listen((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nServer: ${ASKED}\r\nContent-Length: 9\r\n\r\n`);
      socket.end();
    });
    closers.push(close);
    expect(await ask(address, undefined, STARTED_AT)).toMatchObject({ kind: "present" });
  });

  it("takes a connection that is taken and reset for no answer", async () => {
    const sign = await askOne((socket) => void socket.resetAndDestroy());
    expect(sign).toEqual({ kind: "absent", cause: "not_heard", detail: "ECONNRESET" });
  });

  it("hears that nobody listens any more", async () => {
    const { address, close } = await listen(() => undefined);
    await close();
    expect(await ask(address)).toEqual({
      kind: "absent",
      cause: "ended",
      detail: "ECONNREFUSED",
    });
  });

  it("gives up after its limit", async () => {
    const clock: Clock = {
      ...createSystemClock(),
      setTimer: (_after, run) => {
        queueMicrotask(run);
        return { cancel: () => undefined };
      },
    };
    const { address, close } = await listen(() => undefined);
    closers.push(close);
    expect(await ask(address, clock)).toMatchObject({
      kind: "absent",
      cause: "not_heard",
    });
  });
});
