/** A stand-in of the users' plain servers, with the faults that they may have, one chosen for each request. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER } from "@stairgauge/platform";
import {
  HEALTH_PATH,
  listenOnLoopback,
  readWhole,
  type Listening,
  sendJson,
} from "./loopback.js";

/** How a server answers a request. */
export type ServiceFault =
  | "none"
  /** Its own error: it ran. */
  | "error"
  /** Full: it did not run. */
  | "full"
  /** A 503 without the promise that it did not run. */
  | "bare_503"
  /** Another server has the address. */
  | "other_server"
  | "unsigned"
  | "encoded"
  /** The answer to another request. */
  | "crossed"
  /** Ends before its length. */
  | "cut"
  | "no_answer"
  /** No length; ends with the connection. */
  | "unframed"
  /** No length; reset before its end. */
  | "unframed_reset"
  /** A second answer follows the first. */
  | "extra"
  | "garbage"
  /** Answers before it has read the body. */
  | "early"
  /** Says nothing until the connection closes. */
  | "silent";

/** A request as a server received it. */
export type ReceivedRequest = Readonly<{
  id: string;
  method: string;
  target: string;
  headers: readonly string[];
  body: string;
}>;

/** A plain server. */
export type UsersService = Listening &
  Readonly<{
    id: string;
    /** Faults of the next requests, in turn; afterwards there is none. */
    setFaults: (faults: readonly ServiceFault[]) => void;
    listReceived: () => readonly ReceivedRequest[];
    countSilent: () => number;
  }>;

/** Body of every sound answer, by the server's id and the request's. */
export const formatServiceBody = (server: string, request: string): string =>
  `answer of ${server} to ${request}`;

/** Starts a server on loopback. */
export const startUsersService = async (id: string): Promise<UsersService> => {
  const received: ReceivedRequest[] = [];
  let faults: ServiceFault[] = [];
  let silent = 0;

  const sendSound = (response: ServerResponse, request: string, changes = {}) => {
    const body = Buffer.from(formatServiceBody(id, request));
    response.writeHead(200, {
      [HEADER.requestId]: request,
      [HEADER.signature]: `signature-${request}`,
      "Content-Length": String(body.length),
      ...changes,
    });
    response.end(body);
  };
  const sendRaw = (incoming: IncomingMessage, text: string, end: "end" | "reset") => {
    const { socket } = incoming;
    socket.write(text, () => {
      if (end === "end") socket.end();
      else socket.resetAndDestroy();
    });
  };
  const sendStatus = (response: ServerResponse, status: number, headers = {}) => {
    response.writeHead(status, { "Content-Length": "0", ...headers });
    response.end();
  };
  const formatRaw = (request: string, length: string) =>
    `HTTP/1.1 200 OK\r\n${HEADER.requestId}: ${request}\r\n${HEADER.signature}: s\r\n${length}\r\n`;

  const answer = (
    fault: ServiceFault,
    {
      incoming,
      response,
      request,
    }: {
      incoming: IncomingMessage;
      response: ServerResponse;
      request: string;
    },
  ) => {
    const own = { [HEADER.requestId]: request };
    const body = formatServiceBody(id, request);
    switch (fault) {
      case "none":
      case "early":
        sendSound(response, request);
        return;
      case "error":
        sendStatus(response, 500, { ...own, [HEADER.signature]: `signature-${request}` });
        return;
      case "full":
        sendStatus(response, 503, { ...own, [HEADER.notRun]: "1" });
        return;
      case "bare_503":
        sendStatus(response, 503, own);
        return;
      case "other_server":
        sendStatus(response, 421, { [HEADER.instance]: "i-another" });
        return;
      case "unsigned":
        response.writeHead(200, { ...own, "Content-Length": "2" });
        response.end("ok");
        return;
      case "encoded":
        sendSound(response, request, { [HEADER.contentEncoding]: "gzip" });
        return;
      case "crossed":
        sendSound(response, "another-request");
        return;
      case "cut":
        sendRaw(
          incoming,
          `${formatRaw(request, "Content-Length: 999\r\n")}${body}`,
          "end",
        );
        return;
      case "no_answer":
        incoming.socket.destroy();
        return;
      case "unframed":
        sendRaw(incoming, formatRaw(request, "") + body, "end");
        return;
      case "unframed_reset":
        sendRaw(incoming, formatRaw(request, "") + body.slice(0, 5), "reset");
        return;
      case "extra":
        sendRaw(
          incoming,
          (formatRaw(request, `Content-Length: ${body.length}\r\n`) + body).repeat(2),
          "end",
        );
        return;
      case "garbage":
        sendRaw(incoming, "\u0001\u0002 no answer\r\n\r\n", "end");
        return;
      case "silent":
        silent += 1;
        response.once("close", () => {
          silent -= 1;
        });
    }
  };

  const handle = async (incoming: IncomingMessage, response: ServerResponse) => {
    if (incoming.url === HEALTH_PATH) {
      sendJson(response, 200, {}, { [HEADER.instance]: id });
      return;
    }
    const request = String(incoming.headers[HEADER.requestId.toLowerCase()]);
    const fault = faults.shift() ?? "none";
    const recordRequest = (body: string) =>
      received.push({
        id: request,
        method: incoming.method ?? "",
        target: incoming.url ?? "",
        headers: incoming.rawHeaders,
        body,
      });
    if (fault === "early") recordRequest("(not read)");
    else recordRequest((await readWhole(incoming)).toString("utf8"));
    answer(fault, { incoming, response, request });
  };

  const listening = await listenOnLoopback(
    createServer((incoming, response) => void handle(incoming, response)),
  );
  return {
    ...listening,
    id,
    setFaults: (next) => {
      faults = [...next];
    },
    listReceived: () => received,
    countSilent: () => silent,
  };
};
