import { createServer, Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, type Ms } from "@stairgauge/common";
import type { ReadTurns } from "@stairgauge/saturation";
import { openExchange, type EndedBy } from "./openExchange.js";

type Received = {
  status: number | undefined;
  body: string;
  end: string | undefined;
  endedBy?: EndedBy;
};

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Starts a server that sends a raw answer on each connection; resolves with its address. */
const serveRaw = async (answer: (socket: Socket) => void) => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => server.close());
  return { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
};

const fetchFrom = (
  address: { host: string; port: number },
  turns?: ReadTurns,
): Promise<Received> =>
  new Promise((resolve) => {
    const received: Received = { status: undefined, body: "", end: undefined };
    openExchange(
      createSystemClock(),
      {
        address,
        method: "GET",
        target: "/a",
        headers: ["Host", "a.example"],
        body: Buffer.alloc(0),
        connectLimit: 1_000 as Ms,
        turns,
      },
      {
        onHead: (status) => {
          received.status = status;
        },
        onData: (chunk) => {
          received.body += chunk.toString();
        },
        onEnd: (endedBy) => resolve({ ...received, end: "whole", endedBy }),
        onFailure: (failure) => resolve({ ...received, end: failure.kind }),
      },
    );
  });

describe("openExchange", () => {
  it("reports an end by connection for an answer without a length whose connection closes normally", async () => {
    const address = await serveRaw((socket) =>
      socket.end("HTTP/1.1 200 OK\r\n\r\nall of it"),
    );
    expect(await fetchFrom(address)).toMatchObject({
      body: "all of it",
      end: "whole",
      endedBy: "connection",
    });
  });

  it.each([
    ["a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"],
    [
      "chunks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ],
    ["no body", "HTTP/1.1 204 No Content\r\n\r\n"],
  ])("reports an end by framing for an answer with %s", async (_name, text) => {
    const address = await serveRaw((socket) => socket.end(text));
    expect(await fetchFrom(address)).toMatchObject({ end: "whole", endedBy: "framing" });
  });

  it("reports an answer without a length as broken if its connection is reset", async () => {
    const address = await serveRaw((socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nhalf of", () =>
        setTimeout(() => socket.resetAndDestroy(), 20),
      );
    });
    expect(await fetchFrom(address)).toMatchObject({ body: "half of", end: "broken" });
  });

  it("reports an answer as broken if its connection is reset together with the last bytes", async () => {
    const address = await serveRaw((socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nhalf of");
      socket.resetAndDestroy();
    });
    expect((await fetchFrom(address)).end).toBe("broken");
  });

  it.each([
    ["a length", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of"],
    ["chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhalf of\r\n"],
  ])("reports an answer with %s as broken if it ends too early", async (_name, text) => {
    const address = await serveRaw((socket) => socket.end(text));
    expect((await fetchFrom(address)).end).toBe("broken");
  });

  it("reports invalid bytes as malformed", async () => {
    const address = await serveRaw((socket) => socket.end("\x00\x01 no answer\r\n\r\n"));
    expect((await fetchFrom(address)).end).toBe("malformed");
  });

  it("ignores bytes after a complete answer", async () => {
    const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const address = await serveRaw((socket) => socket.write(whole + whole));
    expect(await fetchFrom(address)).toMatchObject({ body: "ok", end: "whole" });
  });

  // Guards against an answer that is lost because its connection was reset while it waited for its turn.
  it("receives all of an answer that had arrived before its connection was reset", async () => {
    const body = "x".repeat(10_000);
    const address = await serveRaw((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const noTurns: ReadTurns = { read: () => undefined };
    const received = await fetchFrom(address, noTurns);
    expect(received).toEqual({ status: 200, body, end: "whole", endedBy: "framing" });
  });

  it("reports the server as unreachable if no connection is established", async () => {
    const address = await serveRaw(() => undefined);
    closers.splice(0).forEach((close) => close());
    await new Promise((resolve) => setTimeout(resolve, 10));
    expect((await fetchFrom(address)).end).toBe("unreachable");
  });
});

describe("openExchange with a head that cannot be sent", () => {
  it.each([
    ["a line break", { headers: ["Host", "a\r\nb: c"] }],
    ["a character beyond Latin-1", { headers: ["Host", "\u4e2d"] }],
    ["a name that is no token", { headers: ["a b", "c"] }],
    ["a space in its target", { target: "/a b" }],
    ["a method that is no token", { method: "G T" }],
  ])("with %s dials nothing and reports it as not sent", async (_name, changes) => {
    let dialed = 0;
    const exchange: { isSent: () => boolean } = { isSent: () => true };
    const failed = new Promise<string>((resolve) => {
      const opened = openExchange(
        createSystemClock(),
        {
          address: { host: "127.0.0.1", port: 9 },
          method: "GET",
          target: "/a",
          headers: [],
          body: Buffer.alloc(0),
          connectLimit: 1_000 as Ms,
          dial: () => {
            dialed += 1;
            return new Socket();
          },
          ...changes,
        },
        {
          onHead: () => resolve("head"),
          onData: () => resolve("data"),
          onEnd: () => resolve("end"),
          onFailure: ({ kind }) => resolve(kind),
        },
      );
      exchange.isSent = opened.isSent;
    });
    expect(await failed).toBe("unsendable");
    expect(dialed).toBe(0);
    expect(exchange.isSent()).toBe(false);
  });

  it("reports a connection that cannot be dialed as not sent", async () => {
    const failed = new Promise<string>((resolve) => {
      openExchange(
        createSystemClock(),
        {
          address: { host: "127.0.0.1", port: 70_000 },
          method: "GET",
          target: "/a",
          headers: [],
          body: Buffer.alloc(0),
          connectLimit: 1_000 as Ms,
        },
        {
          onHead: () => resolve("head"),
          onData: () => resolve("data"),
          onEnd: () => resolve("end"),
          onFailure: ({ kind }) => resolve(kind),
        },
      );
    });
    expect(await failed).toBe("unsendable");
  });
});
