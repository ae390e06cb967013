/**
 * Guards against a part of an answer that counts as all of it: a server answers without a length while the request is still
 * being written, and resets the connection. Answers that are complete although the request was not read to its end stay whole.
 */
import { createServer, type AddressInfo, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createSystemClock, type Ms } from "@stairgauge/common";
import { openExchange } from "./openExchange.js";

const HOST = "127.0.0.1";

/** More than the operating systems of both sides take of a request that its server does not read. */
const LONG_BYTES = 16_000_000;
/** Less than that. */
const SHORT_BYTES = 900_000;

const TRIES = 8;

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

const waitMs = (duration: number) =>
  new Promise<void>((resolve) => setTimeout(resolve, duration));

/** Answers a request whose first bytes have been read; its rest is not read unless the server resumes the connection. */
type AnswerEarly = (socket: Socket) => void;

const serveEarly = async (answer: AnswerEarly): Promise<number> => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    closers.push(() => socket.destroy());
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.pause();
      answer(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  closers.push(() => server.close());
  return (server.address() as AddressInfo).port;
};

/** What was received: the bytes of the body, and what ended the answer. */
type Received = Readonly<{ bytes: number; end: string }>;

const sendTo = (port: number, uploadBytes: number) =>
  new Promise<Received>((resolve) => {
    let bytes = 0;
    openExchange(
      createSystemClock(),
      {
        address: { host: HOST, port },
        method: "POST",
        target: "/a",
        headers: ["Host", "a.example", "Content-Length", String(uploadBytes)],
        body: Buffer.alloc(uploadBytes, "x"),
        connectLimit: 1_000 as Ms,
      },
      {
        onHead: () => undefined,
        onData: (chunk) => {
          bytes += chunk.length;
        },
        onEnd: (endedBy) => resolve({ bytes, end: endedBy }),
        onFailure: ({ kind }) => resolve({ bytes, end: kind }),
      },
    );
  });

/** Sends requests one after the other; returns how they ended, and how often. */
const countEnds = async (answer: AnswerEarly, uploadBytes: number) => {
  const port = await serveEarly(answer);
  const ends: Record<string, number> = {};
  for (let i = 0; i < TRIES; i += 1) {
    const { bytes, end } = await sendTo(port, uploadBytes);
    const name = end === "broken" ? end : `${end}: ${bytes}`;
    ends[name] = (ends[name] ?? 0) + 1;
  }
  return ends;
};

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

const writePart = (socket: Socket, bytes: number) =>
  socket.write(`${HEAD}\r\n${"x".repeat(bytes)}`);

/** Ways to reset a connection; the operating system resets one that is closed with unread bytes. */
const RESETS = [
  {
    way: "reset",
    reads: false,
    reset: (socket: Socket) => void socket.resetAndDestroy(),
  },
  {
    way: "closed unread",
    reads: false,
    reset: (socket: Socket) => void socket.destroy(),
  },
  {
    way: "read, then reset",
    reads: true,
    reset: (socket: Socket) => void socket.resetAndDestroy(),
  },
];
const RESET_CASES = RESETS.flatMap((reset) =>
  [0, 1, 1_000, 60_000].flatMap((bytes) =>
    [0, 1, 5].map((delayMs) => ({ ...reset, bytes, delayMs })),
  ),
);

describe("an answer without a length to a request that is still being written", () => {
  it.each(RESET_CASES)(
    "is broken if its connection is $way: $delayMs ms after $bytes bytes",
    async ({ reads, reset, bytes, delayMs }) => {
      const answer: AnswerEarly = (socket) => {
        writePart(socket, bytes);
        if (reads) socket.resume();
        if (delayMs === 0) reset(socket);
        else setTimeout(reset, delayMs, socket);
      };
      expect(await countEnds(answer, LONG_BYTES)).toEqual({ broken: TRIES });
    },
  );

  it.each([0, 5])(
    "ends with its connection if the server ends its side in order after %i ms and reads on",
    async (delayMs) => {
      const answer: AnswerEarly = (socket) => {
        writePart(socket, 1_000);
        socket.resume();
        if (delayMs === 0) socket.end();
        else setTimeout(() => socket.end(), delayMs);
      };
      const whole = { "connection: 1000": TRIES };
      expect(await countEnds(answer, LONG_BYTES)).toEqual(whole);
      expect(await countEnds(answer, SHORT_BYTES)).toEqual(whole);
    },
  );

  it.each([0, 3])(
    "is broken if the server ends its side in order and resets the connection %i ms later",
    async (delayMs) => {
      const answer: AnswerEarly = (socket) => {
        writePart(socket, 1_000);
        socket.end(() => {
          if (delayMs === 0) socket.resetAndDestroy();
          else setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
      };
      expect(await countEnds(answer, LONG_BYTES)).toEqual({ broken: TRIES });
    },
  );

  it("ends with its connection if the server ends its side in order and neither reads on nor resets the connection", async () => {
    const answer: AnswerEarly = (socket) => {
      writePart(socket, 1_000);
      socket.end();
    };
    expect(await countEnds(answer, LONG_BYTES)).toEqual({ "connection: 1000": TRIES });
  });
});

describe("an answer without a length to a request that has been written", () => {
  // Earlier the server may have read all that has arrived, and its close would end the connection in order.
  it.each(RESETS)("is broken if its connection is $way", async ({ reads, reset }) => {
    const answer: AnswerEarly = (socket) => {
      writePart(socket, 1_000);
      if (reads) socket.resume();
      setTimeout(reset, 5, socket);
    };
    expect(await countEnds(answer, SHORT_BYTES)).toEqual({ broken: TRIES });
  });

  it("ends with its connection if the server ends its side in order and resets the connection later", async () => {
    const answer: AnswerEarly = (socket) => {
      writePart(socket, 1_000);
      socket.end(() => setTimeout(() => socket.resetAndDestroy(), 50));
    };
    expect(await countEnds(answer, SHORT_BYTES)).toEqual({ "connection: 1000": TRIES });
  });
});

describe("an answer in chunks to a request that is still being written", () => {
  it.each(RESETS)(
    "is broken if its connection is $way before its last chunk",
    async ({ reset }) => {
      const answer: AnswerEarly = (socket) => {
        socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
        reset(socket);
      };
      expect(await countEnds(answer, LONG_BYTES)).toEqual({ broken: TRIES });
    },
  );

  it("is broken if the server ends its side in order before the last chunk, and resets the connection", async () => {
    const answer: AnswerEarly = (socket) => {
      socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
      socket.end(() => socket.resetAndDestroy());
    };
    expect(await countEnds(answer, LONG_BYTES)).toEqual({ broken: TRIES });
  });
});

describe("an answer that marks its end, to a request that is still being written,", () => {
  it.each([
    ["a length", "Content-Length: 5\r\n\r\nwhole"],
    ["chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"],
  ])("is whole with %s, also if its connection is reset behind it", async (_, text) => {
    const answer: AnswerEarly = (socket) => {
      socket.write(HEAD + text);
      void waitMs(20).then(() => socket.resetAndDestroy());
    };
    expect(await countEnds(answer, LONG_BYTES)).toEqual({ "framing: 5": TRIES });
  });
});
