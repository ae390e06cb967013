/**
 * Guards against an answer that is lost with its connection: a socket that is closed while bytes of its client are unread
 * is reset, and the client, which still sends, never reads what was written before.
 */
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { ask, startSite, waitMs } from "./box.testkit.js";

/** A client that sends all of its pieces before it reads; returns what it has read, and how its connection ended. */
const sendThenRead = (port: number, pieces: readonly string[], gapMs: number) =>
  new Promise<Readonly<{ text: string; error: string | undefined }>>((resolve) => {
    let text = "";
    let error: string | undefined;
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    socket.on("error", (fault: NodeJS.ErrnoException) => {
      error = fault.code;
    });
    socket.on("close", () => resolve({ text, error }));
    const sendAll = async () => {
      for (const piece of pieces) {
        const isSent = await new Promise<boolean>((sent) =>
          socket.write(piece, (fault) => sent(!fault)),
        );
        if (!isSent) return;
        await waitMs(gapMs);
      }
      socket.on("data", (bytes) => {
        text += bytes.toString();
      });
    };
    socket.once("connect", () => void sendAll());
  });

const HEAD = [`Host: ${SITE_HOST}`, `Authorization: Token ${SITE_KEY}`, "Request-Id: r"];
const formatRequest = (lines: readonly string[], path = "/once/x") =>
  [`POST ${path} HTTP/1.1`, ...lines, "", ""].join("\r\n");
const CHUNK_BYTES = 60_000;
const CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`;
const PIECES = 100;
const LENGTH = `Content-Length: ${PIECES * CHUNK.length}`;
const BODY = Array.from({ length: PIECES }, () => CHUNK);

const CASES: readonly (readonly [string, string, string, RegExp])[] = [
  [
    "a body whose length is beyond the limit",
    formatRequest([...HEAD, LENGTH]),
    "",
    /^HTTP\/1.1 413 /,
  ],
  [
    "chunks beyond the limit",
    formatRequest([...HEAD, "Transfer-Encoding: chunked"]),
    "",
    /^HTTP\/1.1 413 /,
  ],
  [
    "a body that finds no memory",
    formatRequest([...HEAD, "Content-Length: 60000"]),
    "clients: { heldMb: 0.01 }",
    /^HTTP\/1.1 503 /,
  ],
  [
    "chunks that find no memory",
    formatRequest([...HEAD, "Transfer-Encoding: chunked"]),
    "clients: { heldMb: 0.01 }",
    /^HTTP\/1.1 503 /,
  ],
  [
    "a head that is too long",
    formatRequest([...HEAD, `A: ${"a".repeat(60_000)}`, LENGTH]),
    "",
    /^HTTP\/1.1 431 /,
  ],
  [
    "a head beyond what is parsed",
    formatRequest([...HEAD, `A: ${"a".repeat(200_000)}`, LENGTH]),
    "",
    /^HTTP\/1.1 431 /,
  ],
  ["a request without a host", formatRequest([LENGTH]), "", /^HTTP\/1.1 400 /],
  [
    "an expectation",
    formatRequest([...HEAD, "Expect: more", LENGTH]),
    "",
    /^HTTP\/1.1 417 /,
  ],
  ["what is no request", "no request\r\n\r\n", "", /^HTTP\/1.1 400 /],
];

/** Whether the text holds one head and the whole body that it announces. */
const isWhole = (text: string) => {
  const [head = "", body] = text.split("\r\n\r\n");
  return body?.length === Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
};

describe("a client that sends on and reads only afterwards gets the whole answer", () => {
  it.each([
    ["at once", 0],
    ["slowly", 10],
  ])(
    "to each early one: %s",
    async (_, gapMs) => {
      const lost: unknown[] = [];
      for (const [name, head, more, expected] of CASES) {
        const { ports, start } = await startSite(0, 1, { more });
        await start();
        const { text, error } = await sendThenRead(ports.clients, [head, ...BODY], gapMs);
        if (!expected.test(text) || !isWhole(text) || error)
          lost.push([name, text.slice(0, 12), error]);
      }
      expect(lost).toEqual([]);
    },
    60_000,
  );

  it("to a body that comes too late", async () => {
    const { ports, start } = await startSite(0, 1);
    await start();
    const head = formatRequest([...HEAD, "Content-Length: 9000"], "/short/x");
    const pieces = [head, ...Array.from({ length: 30 }, () => "x".repeat(200))];
    const { text, error } = await sendThenRead(ports.clients, pieces, 20);
    expect({ text: text.slice(0, 12), whole: isWhole(text), error }).toEqual({
      text: "HTTP/1.1 408",
      whole: true,
      error: undefined,
    });
  });

  it("to a request behind which it sends on although it closes", async () => {
    const { ports, start } = await startSite(0, 1);
    await start();
    const request = formatRequest([...HEAD, "Connection: close", "Content-Length: 0"]);
    const { text, error } = await sendThenRead(ports.clients, [request, ...BODY], 0);
    expect(text).toMatch(/^HTTP\/1.1 200 /);
    expect(error).toBeUndefined();
  });

  it("to a request that was open when its box was told to stop", async () => {
    const { site, box, ports, start } = await startSite(0, 1, { stopSeconds: 5 });
    await start();
    site.services[0]!.setFaults(["silent"]);
    const request = formatRequest([...HEAD, "Content-Length: 0"], "/short/x");
    const answered = sendThenRead(ports.clients, [request, ...BODY], 5);
    await waitMs(50);
    const stopped = box.stop();
    const { text, error } = await answered;
    expect(text).toMatch(/^HTTP\/1.1 504 [^]*Connection: close/);
    expect(error).toBeUndefined();
    await stopped;
  });
});

describe("a connection that lingers for its client", () => {
  it("is closed in the end if its client sends without end, and the box serves others meanwhile", async () => {
    const { ports, lines, start } = await startSite(0, 1);
    await start();
    const socket = connect({
      port: ports.clients,
      host: "127.0.0.1",
      allowHalfOpen: true,
    });
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => undefined);
    socket.resume();
    const head = formatRequest([...HEAD, `Content-Length: ${1e12}`]);
    const sendOn = (fault?: Error | null) => {
      if (!fault) socket.write(CHUNK, sendOn);
    };
    socket.write(head, sendOn);
    expect((await ask(ports, { path: "/once/x" })).status).toBe(200);
    await closed;
    expect(lines).toContainEqual({
      event: "connection_limited",
      listener: "clients",
      limit: "sent_behind",
    });
  }, 30_000);
});
