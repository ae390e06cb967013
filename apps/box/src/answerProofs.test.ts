/**
 * A client got a stream that ended as complete after an event that no run had made. Where each
 * server's part of a stream was kept apart already, bytes or an end were still taken for something that they do not prove:
 * - A server may end its chunks in order within an event, as a process does that closes its answers when it is told to end.
 *   The box passed the half event on and ended the stream as complete: "id: 0\ndata: r token group 0\n\nid: 1\nd".
 * - A server whose coding is not "chunked" ends its answer with the connection all the same.
 * - What stands before the first id of a server that goes on, a comment or an event without an id, settled that it follows;
 *   the client then got events 0 and 1 twice.
 * - A connection that comes up and is then reset counted as a living process. The kernel of a process that is being killed
 *   takes connections until it has closed the listening socket: with 3,000 files open between that and the answer's
 *   connection, 5 of 12 killed processes counted as living, and their half streams as whole.
 * - Another process may listen at the address by then.
 * - A client of HTTP/1.0 got chunks, which it does not know, and could not tell an answer that was broken off.
 * And sound answers were refused: one that has no body needs no proof, a refusal proves itself by its head, and a route that
 * does not resume streams has no use for the number that a client asks behind.
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
  KEEPS_KEYS,
  makeGeneration,
  startBox,
  waitUntilKnown,
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
const TWO = getEvents(0, 2);

/** An engine whose connections are all reset once it has ended its answer within the stream. */
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
      socket.end(formatStreamHead(REQUEST) + TWO);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  closers.push(() => server.close());
  return `${HOST}:${(server.address() as AddressInfo).port}`;
};

/** The engine ends within its stream, and another process listens at its address before the connection's end is sent. */
const sendAndBeReplaced: EngineScript = ({ socket, requestId, leaveAddress }) => {
  const { localPort } = socket;
  leaveAddress();
  const next = createServer((taken) => void taken.on("error", () => undefined).resume());
  next.listen(localPort, HOST, () => socket.end(formatStreamHead(requestId) + TWO));
  closers.push(() => next.close());
};

describe("what proves nothing", () => {
  it("is the last chunk of a stream within an event: it goes on elsewhere", async () => {
    const answer = await askStream("/verdict/", [
      sendChunks(CUT),
      sendChunks(getEvents(1, EVENT_COUNT)),
    ]);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });

  it("is the last chunk of a stream within an event: one that cannot go on is broken off", async () => {
    const answer = await askStream("/draft/", [sendChunks(CUT)]);
    expect(answer).toMatchObject({ body: getEvents(0, 1), isWhole: false });
  });

  it.each(["identity", "gzip"])(
    "is the end of a connection whose answer has the coding %s",
    async (coding) => {
      const more = `Content-Type: text/event-stream\r\nTransfer-Encoding: ${coding}\r\n`;
      const answer = await askStream("/draft/", [sendAndLeave("200 OK", CUT, more)]);
      expect(answer.body).not.toBe(CUT);
      expect(answer.isWhole).toBe(false);
    },
  );

  it("is a comment before the first event of a server that begins anew", async () => {
    const answer = await askStream("/verdict/", [
      sendAndReset(TWO),
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

  it("is a connection that comes up and is reset", async () => {
    const site = await startUsersSite({ engines: 0, services: 0 });
    closers.push(site.close);
    site.putEngine("engine-a", await startDyingEngine());
    const { ports, lines } = await startBox(site.store.address, "box-1", KEEPS_KEYS);
    site.putConfiguration();
    await waitUntilKnown(lines, 1);
    const headers = makeGeneration(400, EVENT_COUNT);
    const answer = await ask(ports, { path: "/draft/", id: REQUEST, headers });
    expect(answer).toMatchObject({ body: TWO, isWhole: false });
  });

  it("is a connection to another process at the address", async () => {
    const answer = await askStream("/draft/", [sendAndBeReplaced]);
    expect(answer).toMatchObject({ body: TWO, isWhole: false });
  });

  it("is a last chunk to a client that knows no chunks", async () => {
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
  ])("is that a server did not run a request: %s", async (status, more) => {
    const answer = await askPlain({}, [sendAndLeave(status, "full", more)]);
    expect(answer.status).toBe(503);
  });

  it("is a stream of a route that resumes none, whatever its client asks behind", async () => {
    const more = { "Last-Event-Id": "5" };
    const answer = await askStream("/draft/", [sendChunks(WHOLE)], more);
    expect(answer).toMatchObject({ status: 200, body: WHOLE, isWhole: true });
  });
});
