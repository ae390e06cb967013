/**
 * The connections of a killed or replaced process close normally, as if its answers were complete. A
 * health check right afterwards shows whether the process still runs. Only an answer of the same server
 * counts: a dying process may still accept a connection and then reset it.
 */
import { createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, type Clock, type Ms } from "@stairgauge/common";
import type { ServerName } from "@stairgauge/directory";
import { askServer, type ServerQuestion } from "./askServer.js";
import type { AnswerHead } from "./types.js";

const HOST = "127.0.0.1";
const EXPECTED_NAME = "server-1" as ServerName;
const STARTED_AT = 1_700_000_000_000 as Ms;

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

const listen = async (handleCall: (socket: Socket) => void) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => handleCall(socket));
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
    entry: { name: EXPECTED_NAME, address, startedAt },
    healthPath: "/well",
    connectLimit: 5_000 as Ms,
  });

const askOne = async (handleCall: (socket: Socket) => void) => {
  const { address, close } = await listen(handleCall);
  closers.push(close);
  return await ask(address);
};
const sendAnswer = (status: string, server: string) => (socket: Socket) =>
  socket.end(`HTTP/1.1 ${status}\r\nServer: ${server}\r\nContent-Length: 0\r\n\r\n`);

describe("askServer", () => {
  it.each(["200 OK", "503 Service Unavailable"])(
    "reports a server as present that answers with %s",
    async (status) => {
      expect(await askOne(sendAnswer(status, EXPECTED_NAME))).toMatchObject({
        kind: "present",
      });
    },
  );

  it.each([
    ["200 OK", "server-2"],
    ["421 Misdirected Request", EXPECTED_NAME],
  ])(
    "reports the server as ended if its address answers %s as %s",
    async (status, server) => {
      expect(await askOne(sendAnswer(status, server))).toMatchObject({
        kind: "absent",
        cause: "ended",
      });
    },
  );

  it.each([
    ["the same start", String(STARTED_AT), "present"],
    ["a later start", String(STARTED_AT + 5), "absent"],
    ["no start", "", "present"],
  ])("compares the stated start of the process: %s", async (_what, body, kind) => {
    const { address, close } = await listen((socket) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nServer: ${EXPECTED_NAME}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ),
    );
    closers.push(close);
    expect(await ask(address, undefined, STARTED_AT)).toMatchObject({ kind });
  });

  it("decides by the head if the body does not end", async () => {
    const { address, close } = await listen((socket) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nServer: ${EXPECTED_NAME}\r\nContent-Length: 9\r\n\r\n`,
      );
      socket.end();
    });
    closers.push(close);
    expect(await ask(address, undefined, STARTED_AT)).toMatchObject({ kind: "present" });
  });

  // Guards against a part of a stream that counts as whole since its server answers its health check with something.
  it.each(["000 OK", "099 OK", "600 OK", "999 OK", "200 O\x01"])(
    "reports no answer if its head is none of HTTP: %s",
    async (status) => {
      expect(await askOne(sendAnswer(status, EXPECTED_NAME))).toMatchObject({
        kind: "absent",
        cause: "not_heard",
      });
    },
  );

  it("reports no answer if the connection is accepted and then reset", async () => {
    const presence = await askOne((socket) => void socket.resetAndDestroy());
    expect(presence).toEqual({
      kind: "absent",
      cause: "not_heard",
      detail: "ECONNRESET",
    });
  });

  it("reports the server as ended if nothing listens on its port", async () => {
    const { address, close } = await listen(() => undefined);
    await close();
    expect(await ask(address)).toEqual({
      kind: "absent",
      cause: "ended",
      detail: "ECONNREFUSED",
    });
  });

  it("reports no answer after the timeout", async () => {
    const clock: Clock = {
      ...createSystemClock(),
      setTimeLimit: (_after, run) => {
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
