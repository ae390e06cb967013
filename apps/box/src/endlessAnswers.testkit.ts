/** Test helpers: backend servers that write without end, and a record of what the box reads from each of its connections. */
import { request as openRequest } from "node:http";
import { createServer, type Socket } from "node:net";
import { connectTcp, type Dialer } from "@stairgauge/common";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { IDLE_REPORT, listenOnLoopback, SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { closers, makeGeneration } from "./box.testkit.js";
import type { BoxPorts } from "./createBox.js";

const HEAD_END = "\r\n\r\n";
const REPEATED_BYTES = 64 * 1024;

/** What a server writes: `begin` once, then `repeat` until its connection is closed. */
export type ServerWriting = Readonly<{
  begin: string;
  repeat?: string | undefined;
  /** Pause in ms before each `repeat`; as fast as the connection takes it if undefined. */
  pauseMs?: number | undefined;
  /** Whether the server closes the connection after `begin`. */
  isClosed?: boolean | undefined;
}>;

/** A request as the server receives it. */
export type ReceivedCall = Readonly<{
  method: string;
  path: string;
  id: string;
  /** Port of the box's end of the connection. */
  port: number;
}>;

/** Chooses what a server writes in answer to a call. */
export type ChooseWriting = (call: ReceivedCall) => ServerWriting;

const parseCall = (head: string, port: number): ReceivedCall => {
  const [method = "", path = ""] = head.split(" ");
  const id = /^request-id: (.*)$/im.exec(head)?.[1]?.trim() ?? "";
  return { method, path, id, port };
};

const writeWithoutEnd = (socket: Socket, repeat: string) => {
  const block = Buffer.from(
    repeat.repeat(Math.ceil(REPEATED_BYTES / repeat.length)),
    "latin1",
  );
  const writeOn = () => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(writeOn);
    else socket.once("drain", () => setImmediate(writeOn));
  };
  writeOn();
};

const writeSlowly = (socket: Socket, repeat: string, pauseMs: number) => {
  const timer = setInterval(() => socket.write(repeat), pauseMs);
  socket.once("close", () => clearInterval(timer));
};

/** Starts a server that writes what is chosen for each call; resolves with its address. */
export const startWritingServer = async (choose: ChooseWriting): Promise<string> => {
  const server = createServer((socket) => {
    closers.push(() => socket.destroy());
    let received = "";
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      received += bytes.toString("latin1");
      const end = received.indexOf(HEAD_END);
      if (end < 0) return;
      const { begin, repeat, pauseMs, isClosed } = choose(
        parseCall(received.slice(0, end), socket.remotePort ?? 0),
      );
      received = "";
      if (begin !== "") socket.write(Buffer.from(begin, "latin1"));
      if (isClosed) socket.end();
      if (repeat === undefined) return;
      if (pauseMs === undefined) writeWithoutEnd(socket, repeat);
      else writeSlowly(socket, repeat, pauseMs);
    });
  });
  const { address, close } = await listenOnLoopback(server);
  closers.push(close);
  return address;
};

/** A connection of the box to a server. */
export type DialedConnection = Readonly<{
  /** Port of the box's end. */
  getPort: () => number | undefined;
  countRead: () => number;
  isOpen: () => boolean;
}>;

/** Opens connections over TCP and keeps a record of each. */
export const createRecordingDialer = () => {
  const connections: DialedConnection[] = [];
  const dial: Dialer = (address) => {
    const socket = connectTcp(address);
    let port: number | undefined;
    socket.once("connect", () => {
      port = socket.localPort;
    });
    connections.push({
      getPort: () => port,
      countRead: () => socket.bytesRead,
      isOpen: () => !socket.destroyed,
    });
    return socket;
  };
  return { dial, connections };
};

/** Connects to a port at which nothing listens. */
export const dialClosedPort: Dialer = () => connectTcp({ host: "127.0.0.1", port: 1 });

/** How a request ended at its client, and the bytes of the answer's body that it received. */
export type CountedAnswer = Readonly<{
  status: number;
  isWhole: boolean;
  bytes: number;
  /** Time until the end, in ms. */
  took: number;
}>;

/** Sends a request and counts the bytes of its answer. */
export const askCounted = (
  ports: BoxPorts,
  { path, id, deadlineMs }: Readonly<{ path: string; id: string; deadlineMs: number }>,
) =>
  new Promise<CountedAnswer>((resolve) => {
    const begunAt = performance.now();
    let bytes = 0;
    const end = (status: number, isWhole: boolean) =>
      resolve({ status, isWhole, bytes, took: performance.now() - begunAt });
    const outgoing = openRequest({
      host: "127.0.0.1",
      port: ports.clients,
      path,
      method: "POST",
      agent: false,
      headers: {
        Host: SITE_HOST,
        [HEADER.requestId]: id,
        [HEADER.deadline]: String(deadlineMs),
        [HEADER.authorization]: `Token ${SITE_KEY}`,
        ...(/^\/(draft|verdict)/.test(path) ? makeGeneration(300, 40) : {}),
      },
    });
    outgoing.on("error", () => end(0, false));
    outgoing.on("response", (incoming) => {
      incoming.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
      });
      incoming.on("error", () => undefined);
      incoming.on("close", () => end(incoming.statusCode ?? 0, incoming.complete));
    });
    outgoing.end("hello");
  });

const EVENTS = Array.from({ length: 4 }, (_, at) => `id: ${at}\ndata: ${at}\n\n`).join(
  "",
);

/** Formats the head of an answer. */
export const formatHead = (status: string, lines: readonly string[]): string =>
  [`HTTP/1.1 ${status}`, ...lines].join("\r\n") + HEAD_END;

/** A sound answer to a call: a health check, a report, a stream or a plain request. */
export const writeSoundAnswer = (server: string, call: ReceivedCall): ServerWriting => {
  if (call.method === "GET") {
    const body = call.path === SERVER_PATH.report ? JSON.stringify(IDLE_REPORT) : "{}";
    const lines = [`${HEADER.instance}: ${server}`, `Content-Length: ${body.length}`];
    return { begin: formatHead("200 OK", lines) + body };
  }
  const isStream = /^\/(draft|verdict)/.test(call.path);
  const body = isStream ? EVENTS : "ok";
  const lines = [
    `${HEADER.requestId}: ${call.id}`,
    `${HEADER.signature}: s`,
    `Content-Type: ${isStream ? "text/event-stream" : "text/plain"}`,
    `Content-Length: ${body.length}`,
  ];
  return { begin: formatHead("200 OK", lines) + body };
};
