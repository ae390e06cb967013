/**
 * Stand-ins of backend servers that a request can crash: one whose body says so ends the server soon after it begins to run,
 * with all connections reset; the server is back a little later, at its address, as another start of the same name.
 */
import { createServer, type Server, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import { sendPlainAnswer, sendStreamEvents, sendWholeStream } from "./soundAnswers.js";
import {
  findHeader,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** A body that holds this ends the server that runs it. */
export const CRASHING_BODY = "ends its server";

/** Time from the begin of such a request to the end of its server, and from that to the next start. */
const ENDS_AFTER_MS = 30;
const BACK_AFTER_MS = 300;

/** Time that a sound plain request takes. */
const PLAIN_MS = 20;

/** Start that the first of all starts comes after, in Unix milliseconds. */
const FIRST_BORN = 1_700_000_000_000;

/** What the servers are. */
export type CrashingKind = "engine" | "plain";

/** How a fleet of such servers is listed. */
export type CrashingServersOptions = Readonly<{
  kind: CrashingKind;
  count: number;
  /** Puts a server's entry; called again at each start. */
  putEntry: (id: string, address: string, born: number) => void;
}>;

/** The servers, and what was done to them. */
export type CrashingServers = Readonly<{
  /** Requests that end servers, as many as have reached one. */
  countArrivals: () => number;
  /** Ends of servers. */
  countEnds: () => number;
  /** Resets all connections to all servers, which live on, as soon as so many sound plain requests have come from now on. */
  resetAfter: (requests: number) => void;
  close: () => void;
}>;

/** Starts the servers. */
export const startCrashingServers = async (
  options: CrashingServersOptions,
): Promise<CrashingServers> => {
  const { kind, count, putEntry } = options;
  const isEngine = kind === "engine";
  const closers: (() => void)[] = [];
  const resetters: (() => void)[] = [];
  let arrivals = 0;
  let ends = 0;
  let isClosed = false;
  /** Sound plain requests until all connections are reset. */
  let resetIn = Infinity;
  const countSound = () => {
    resetIn -= 1;
    if (resetIn > 0) return;
    resetIn = Infinity;
    resetters.forEach((reset) => reset());
  };

  const startServer = async (id: string) => {
    const sockets = new Set<Socket>();
    let born = FIRST_BORN;
    let port = 0;
    let listener: Server | undefined;

    const closeAll = () => {
      for (const socket of sockets) socket.resetAndDestroy();
    };
    const endServer = () => {
      if (!listener) return;
      listener.close();
      listener = undefined;
      ends += 1;
      closeAll();
      setTimeout(() => void listen(), BACK_AFTER_MS);
    };
    const startCrash = (socket: Socket, request: string) => {
      arrivals += 1;
      if (isEngine) sendStreamEvents({ socket, request }, { from: 0, to: 1 });
      setTimeout(endServer, ENDS_AFTER_MS);
    };
    const takeRequest = (socket: Socket, head: string, body: string) => {
      const request = findHeader(head, HEADER.requestId) ?? "";
      if (head.startsWith(`GET ${SERVER_PATH.report}`))
        sendWireJson(socket, { ...IDLE_REPORT, born });
      else if (head.startsWith(`GET ${HEALTH_PATH}`))
        sendWireJson(socket, {}, "200 OK", [
          `${HEADER.instance}: ${id}`,
          `${HEADER.born}: ${born}`,
        ]);
      else if (body.includes(CRASHING_BODY)) startCrash(socket, request);
      else if (isEngine)
        sendWholeStream(
          { socket, request },
          Number(findHeader(head, HEADER.lastEventId) ?? -1) + 1,
        );
      else {
        setTimeout(() => sendPlainAnswer({ socket, request }), PLAIN_MS);
        countSound();
      }
    };
    const listen = async () => {
      if (isClosed) return;
      const started = createServer({ allowHalfOpen: true }, (socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        readWireRequests(socket, (head, body) => takeRequest(socket, head, body));
      });
      const { address } = await listenOnLoopback(started, port);
      port = Number(address.split(":")[1]);
      born += 1;
      listener = started;
      putEntry(id, address, born);
    };
    closers.push(() => {
      listener?.close();
      closeAll();
    });
    resetters.push(closeAll);
    await listen();
  };
  await Promise.all(Array.from({ length: count }, (_, i) => startServer(`${kind}-${i}`)));

  return {
    countArrivals: () => arrivals,
    countEnds: () => ends,
    resetAfter: (requests) => {
      resetIn = requests;
    },
    close: () => {
      isClosed = true;
      for (const close of closers) close();
    },
  };
};
