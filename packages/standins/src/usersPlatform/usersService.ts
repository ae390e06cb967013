/** Stand-in plain server. A test chooses a fault for each request. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER } from "@stairgauge/platform";
import {
  HEALTH_PATH,
  listenOnLoopback,
  readWhole,
  type Listening,
  sendJson,
} from "./loopback.js";

/** How the server answers a request. */
export type ServiceFault =
  | "none"
  /** 500 from the server itself: the request ran. */
  | "error"
  /** 503 with the header that states that the request did not run. */
  | "full"
  /** 503 without that header: the request may have run. */
  | "bare_503"
  /** 421: another server now listens at the address. */
  | "other_server"
  /** Without the signature header. */
  | "unsigned"
  /** With a content encoding. */
  | "encoded"
  /** With the id of another request. */
  | "crossed"
  /** The connection ends before the announced length. */
  | "cut"
  /** The connection closes without an answer. */
  | "no_answer"
  /** No length; the body ends with the connection. */
  | "unframed"
  /** No length; the connection is reset within the body. */
  | "unframed_reset"
  /** The answer is sent twice. */
  | "extra"
  /** Bytes that are not HTTP. */
  | "garbage"
  /** Answers before reading the request's body. */
  | "early"
  /** Never answers. */
  | "silent";

/** A request as a server received it. */
export type ReceivedRequest = Readonly<{
  id: string;
  method: string;
  /** Path and query. */
  target: string;
  /** Names and values in turn. */
  headers: readonly string[];
  body: string;
}>;

/** A running plain server. */
export type UsersService = Listening &
  Readonly<{
    id: string;
    /** Sets the faults of the next requests, in order; later requests are answered without a fault. */
    setFaults: (faults: readonly ServiceFault[]) => void;
    listReceived: () => readonly ReceivedRequest[];
    /** Number of open requests that are never answered. */
    countSilent: () => number;
  }>;

/** Formats the body of an answer without a fault, from the ids of the server and the request. */
export const formatServiceBody = (server: string, request: string): string =>
  `answer of ${server} to ${request}`;

/** Starts a server on loopback. */
export const startUsersService = async (id: string): Promise<UsersService> => {
  const received: ReceivedRequest[] = [];
  let faults: ServiceFault[] = [];
  let silent = 0;

  const sendValidAnswer = (response: ServerResponse, request: string, changes = {}) => {
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
  const formatRawHead = (request: string, length: string) =>
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
    const idHeader = { [HEADER.requestId]: request };
    const body = formatServiceBody(id, request);
    switch (fault) {
      case "none":
      case "early":
        sendValidAnswer(response, request);
        return;
      case "error":
        sendStatus(response, 500, {
          ...idHeader,
          [HEADER.signature]: `signature-${request}`,
        });
        return;
      case "full":
        sendStatus(response, 503, { ...idHeader, [HEADER.notRun]: "1" });
        return;
      case "bare_503":
        sendStatus(response, 503, idHeader);
        return;
      case "other_server":
        sendStatus(response, 421, { [HEADER.instance]: "i-another" });
        return;
      case "unsigned":
        response.writeHead(200, { ...idHeader, "Content-Length": "2" });
        response.end("ok");
        return;
      case "encoded":
        sendValidAnswer(response, request, { [HEADER.contentEncoding]: "gzip" });
        return;
      case "crossed":
        sendValidAnswer(response, "another-request");
        return;
      case "cut":
        sendRaw(
          incoming,
          `${formatRawHead(request, "Content-Length: 999\r\n")}${body}`,
          "end",
        );
        return;
      case "no_answer":
        incoming.socket.destroy();
        return;
      case "unframed":
        sendRaw(incoming, formatRawHead(request, "") + body, "end");
        return;
      case "unframed_reset":
        sendRaw(incoming, formatRawHead(request, "") + body.slice(0, 5), "reset");
        return;
      case "extra":
        sendRaw(
          incoming,
          (formatRawHead(request, `Content-Length: ${body.length}\r\n`) + body).repeat(2),
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
