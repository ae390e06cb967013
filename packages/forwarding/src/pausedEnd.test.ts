/**
 * If a client reads slower than its server writes, the box pauses the server's answer. An answer without
 * a length or chunks then ends with its connection while its last bytes are still buffered at the box.
 * To detect a reset, the box writes an empty line. A server that has closed the connection in both
 * directions answers the line with a reset, also after a complete answer. If the box processes the reset
 * before the buffered bytes, it breaks off a complete answer.
 */
import { createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, expect, it } from "vitest";
import { createSystemClock, type Ms } from "@stairgauge/common";
import { openExchange, type Exchange } from "./openExchange.js";

const HOST = "127.0.0.1";
const FIRST = "first part, ";
const LAST = "last part";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Sends a complete answer in two writes, then closes the connection normally in both directions. */
const sendAndClose = (socket: Socket, framing: string) => {
  socket.write(`HTTP/1.1 200 OK\r\n${framing}\r\n${FIRST}`);
  setTimeout(() => socket.write(LAST, () => socket.destroy()), 20);
};
/** Sends a complete answer in two writes, and resets the connection once the answer has been read. */
const sendAndReset = (socket: Socket, framing: string) => {
  socket.write(`HTTP/1.1 200 OK\r\n${framing}\r\n${FIRST}`);
  setTimeout(() => socket.write(LAST), 20);
  setTimeout(() => socket.resetAndDestroy(), 60);
};
const LENGTH = `Content-Length: ${FIRST.length + LAST.length}\r\n`;

const readSlowly = (port: number, pauseMs: number) =>
  new Promise<{ body: string; end: string }>((resolve) => {
    let body = "";
    const exchange: Exchange = openExchange(
      createSystemClock(),
      {
        address: { host: HOST, port },
        method: "GET",
        target: "/a",
        headers: ["Host", "a.example"],
        body: Buffer.alloc(0),
        connectLimit: 1_000 as Ms,
      },
      {
        onHead: () => undefined,
        onData: (chunk) => {
          body += chunk.toString();
          if (pauseMs === 0) return;
          exchange.pause();
          setTimeout(exchange.resume, pauseMs);
        },
        onEnd: (endedBy) => resolve({ body, end: endedBy }),
        onFailure: ({ kind, detail }) => resolve({ body, end: `${kind}: ${detail}` }),
      },
    );
  });

const WAYS = [
  { way: "closed, without framing", send: sendAndClose, framing: "", end: "connection" },
  { way: "closed, with a length", send: sendAndClose, framing: LENGTH, end: "framing" },
  { way: "reset, with a length", send: sendAndReset, framing: LENGTH, end: "framing" },
];

it.each(WAYS.flatMap((way) => [0, 150].map((pauseMs) => ({ ...way, pauseMs }))))(
  "a complete answer is received completely: connection $way, reader paused for $pauseMs ms",
  async ({ send, framing, end, pauseMs }) => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => send(socket, framing));
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    closers.push(() => server.close());
    const { port } = server.address() as AddressInfo;
    expect(await readSlowly(port, pauseMs)).toEqual({ body: FIRST + LAST, end });
  },
);
