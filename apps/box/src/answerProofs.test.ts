/**
 * Guards against taking an end or bytes for a proof that an answer is complete or continues
 * another:
 * - A server may end its chunks normally within an event, for example when it closes its
 *   answers on exit. Such an answer is not complete:
 *   "id: 0\ndata: r token group 0\n\nid: 1\nd".
 * - A server whose transfer coding is not "chunked" also ends its answer with the connection.
 * - A comment or an event without an id before the first id of a second server doesn't show
 *   that it continues the stream; the client would get events 0 and 1 twice.
 * - A connection that is accepted and then reset doesn't show that the process runs: while a
 *   process is killed, its kernel accepts connections until it has closed the listening socket.
 *   With 3,000 files open between that and the answer's connection, 5 of 12 killed processes
 *   counted as running, and their half streams as complete.
 * - Another process may listen at the address by then.
 * - A client of HTTP/1.0 doesn't support chunks, and couldn't detect an answer that is broken
 *   off.
 * Valid answers must not be refused: one without a body needs no proof, a refusal is proved by
 * its head, and a route that doesn't resume streams ignores the client's Last-Event-Id.
 */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { describe, expect, it } from "vitest";
import {
  formatStreamHead,
  SITE_HOST,
  SITE_KEY,
  startUsersSite,
  type EngineScript,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  LENIENT_KEY_REMOVAL,
  makeGeneration,
  startBox,
  waitUntilRead,
} from "./box.testkit.js";
import {
  askPlain,
  askStream,
  CUT,
  EVENT_COUNT,
  getEvents,
  REQUEST,
  sendAndLeave,
  sendAndReset,
  sendChunks,
  startScriptedSite,
  WHOLE,
} from "./scripted.testkit.js";

const HOST = "127.0.0.1";
const TWO_EVENTS = getEvents(0, 2);

/**
 * Starts an engine whose connections are all reset once it has ended its answer within the
 * stream.
 */
const startDyingEngine = async () => {
  let isDying = false;
  const server = createServer((socket: Socket) => {
    socket.on("error", () => undefined);
    if (isDying) {
      socket.resetAndDestroy();
      return;
    }
    socket.once("data", (chunk: Buffer) => {
      if (!chunk.toString().startsWith("POST")) {
        socket.end();
        return;
      }
      isDying = true;
      socket.end(formatStreamHead(REQUEST) + TWO_EVENTS);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  closers.push(() => server.close());
  return `${HOST}:${(server.address() as AddressInfo).port}`;
};

/**
 * Ends within the stream, with another process listening at the address before the connection
 * closes.
 */
const sendAndBeReplaced: EngineScript = ({ socket, requestId, stopListening }) => {
  const { localPort } = socket;
  stopListening();
  const next = createServer((taken) => void taken.on("error", () => undefined).resume());
  next.listen(localPort, HOST, () =>
    socket.end(formatStreamHead(requestId) + TWO_EVENTS),
  );
  closers.push(() => next.close());
};

describe("what does not prove that an answer is complete or continues another", () => {
  it("is the last chunk of a stream within an event: the stream continues at another server", async () => {
    const answer = await askStream("/verdict/", [
      sendChunks(CUT),
      sendChunks(getEvents(1, EVENT_COUNT)),
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("is the last chunk of a stream within an event: a stream that can't be resumed is broken off", async () => {
    const answer = await askStream("/draft/", [sendChunks(CUT)]);
    expect(answer).toMatchObject({ body: getEvents(0, 1), isWhole: false });
  });

  it.each(["identity", "gzip"])(
    "is the end of a connection if the answer has the transfer coding %s",
    async (coding) => {
      const extraHeaders = `Content-Type: text/event-stream\r\nTransfer-Encoding: ${coding}\r\n`;
      const answer = await askStream("/draft/", [
        sendAndLeave("200 OK", CUT, extraHeaders),
      ]);
      expect(answer.body).not.toBe(CUT);
      expect(answer.isWhole).toBe(false);
    },
  );

  it("is a comment before the first event of a server that starts from the beginning", async () => {
    const answer = await askStream("/verdict/", [
      sendAndReset(TWO_EVENTS),
      ({ socket, requestId }) => {
        const head = formatStreamHead(requestId, "Transfer-Encoding: chunked");
        socket.write(`${head}8\r\n: here\n\n\r\n`, () =>
          setTimeout(
            () => socket.write(`${WHOLE.length.toString(16)}\r\n${WHOLE}\r\n0\r\n\r\n`),
            20,
          ),
        );
      },
    ]);
    expect(answer.body.split("id: 0\n")).toHaveLength(2);
    expect(answer.isWhole).toBe(false);
  });

  it("is a connection that is accepted and then reset", async () => {
    const site = await startUsersSite({ engines: 0, services: 0 });
    closers.push(site.close);
    site.putEngine("engine-a", await startDyingEngine());
    const { ports, lines } = await startBox(
      site.store.address,
      "box-1",
      LENIENT_KEY_REMOVAL,
    );
    site.putConfiguration();
    await waitUntilRead(lines, 1);
    const headers = makeGeneration(400, EVENT_COUNT);
    const answer = await ask(ports, { path: "/draft/", id: REQUEST, headers });
    expect(answer).toMatchObject({ body: TWO_EVENTS, isWhole: false });
  });

  it("is a connection to another process at the address", async () => {
    const answer = await askStream("/draft/", [sendAndBeReplaced]);
    expect(answer).toMatchObject({ body: TWO_EVENTS, isWhole: false });
  });

  it("is a last chunk for a client without support for chunks", async () => {
    const { ports } = await startScriptedSite([sendChunks(WHOLE)], "writers");
    const text = await new Promise<string>((resolve) => {
      let received = "";
      const head = `POST /draft/ HTTP/1.0\r\nHost: ${SITE_HOST}\r\nRequest-Id: ${REQUEST}\r\nAuthorization: Token ${SITE_KEY}\r\nModel: m\r\nToken-Usage: 400,4\r\nContent-Length: 5\r\n\r\nhello`;
      const socket = connect(ports.clients, HOST, () => socket.write(head));
      socket.on("data", (chunk: Buffer) => {
        received += chunk.toString();
      });
      socket.on("close", () => resolve(received));
    });
    const [head = "", body] = text.split("\r\n\r\n");
    expect(head).not.toMatch(/transfer-encoding/i);
    expect(body).toBe(WHOLE);
  });
});

describe("what needs no proof by a connection", () => {
  it.each([
    ["POST", "204 No Content", 204],
    ["GET", "304 Not Modified", 304],
    ["HEAD", "200 OK", 200],
  ])("is the end of an answer without a body: %s, %s", async (method, status, code) => {
    const body = method === "POST" ? "hello" : "";
    const answer = await askPlain({ method, body }, [sendAndLeave(status, "")]);
    expect(answer.status).toBe(code);
    expect(answer.headers["response-signature"]).toBe("s");
  });

  it.each([
    ["503 Service Unavailable", "Not-Executed: 1\r\n"],
    ["421 Misdirected Request", ""],
  ])(
    "is a refusal that states that the request did not run: %s",
    async (status, extraHeaders) => {
      const answer = await askPlain({}, [sendAndLeave(status, "full", extraHeaders)]);
      expect(answer.status).toBe(503);
    },
  );

  it("is a stream of a route without resumption, whatever the client's Last-Event-Id", async () => {
    const extraHeaders = { "Last-Event-Id": "5" };
    const answer = await askStream("/draft/", [sendChunks(WHOLE)], extraHeaders);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });
});
