/**
 * Stand-in backend servers that a request can crash. A request whose body contains `CRASHING_BODY` stops the server shortly
 * after the request starts, and resets all connections. The server then restarts with the same id and address and a later
 * start time.
 */
import { createServer, type Server, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import { sendPlainAnswer, sendStreamEvents, sendWholeStream } from "./rawAnswers.js";
import { reservePort } from "./reservePort.js";
import {
  findHeader,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** A request whose body contains this text crashes the server that runs it. */
export const CRASHING_BODY = "ends its server";

/** So does one with this part in its prompt, before the last part. */
export const CRASHING_PART = "bad0bad0";

/** Time from the start of such a request to the crash, and by default from the crash to the restart. */
const CRASH_DELAY_MS = 30;
const RESTART_DELAY_MS = 300;

/** Duration of a plain request that does not crash the server. */
const PLAIN_DURATION_MS = 20;

/** Each server's first start time is 1 ms after this, in Unix milliseconds. */
const BASE_START_TIME = 1_700_000_000_000;

/** Kind of the servers: engines, which stream, or plain servers. */
export type CrashingKind = "engine" | "plain";

/** Options of `startCrashingServers`. */
export type CrashingServersOptions = Readonly<{
  kind: CrashingKind;
  count: number;
  /** Time from a crash to the restart. */
  restartMs?: number;
  /** Duration of a stream that does not crash its engine; it is sent at once by default. */
  streamMs?: number;
  /** Whether an engine sends the first event of a stream that crashes it, or only the head; true by default. */
  sendsFirstEvent?: boolean;
  /** Writes a server's directory entry; called at each start. `born` is the start time in Unix milliseconds. */
  putEntry: (id: string, address: string, born: number) => void;
}>;

/** The running servers, with counts of what happened to them. */
export type CrashingServers = Readonly<{
  /** Number of crashing requests that have reached a server. */
  countArrivals: () => number;
  /** Number of server crashes. */
  countCrashes: () => number;
  /** Resets all connections once this many more plain requests have arrived; the servers keep running. Crashing requests don't count. */
  resetAfter: (requests: number) => void;
  close: () => void;
}>;

const hasCrashingPart = (head: string): boolean =>
  (findHeader(head, HEADER.promptParts) ?? "")
    .split(",")
    .slice(0, -1)
    .some((part) => part.startsWith(`${CRASHING_PART}:`));

/** Starts the servers on loopback and writes their entries. */
export const startCrashingServers = async (
  options: CrashingServersOptions,
): Promise<CrashingServers> => {
  const { kind, count, putEntry } = options;
  const { restartMs = RESTART_DELAY_MS, streamMs = 0, sendsFirstEvent = true } = options;
  const isEngine = kind === "engine";
  const closers: (() => void)[] = [];
  const resetters: (() => void)[] = [];
  let arrivals = 0;
  let crashes = 0;
  let isClosed = false;
  /** Plain requests left until all connections are reset. */
  let requestsUntilReset = Infinity;
  const countPlainRequest = () => {
    requestsUntilReset -= 1;
    if (requestsUntilReset > 0) return;
    requestsUntilReset = Infinity;
    resetters.forEach((reset) => reset());
  };

  const startServer = async (id: string) => {
    const { port, release } = await reservePort();
    const sockets = new Set<Socket>();
    let born = BASE_START_TIME;
    let listener: Server | undefined;

    const resetConnections = () => {
      for (const socket of sockets) socket.resetAndDestroy();
    };
    const stopServer = () => {
      if (!listener) return;
      listener.close();
      listener = undefined;
      crashes += 1;
      resetConnections();
      setTimeout(() => void listen(), restartMs);
    };
    const startCrash = (socket: Socket, request: string) => {
      arrivals += 1;
      if (isEngine)
        sendStreamEvents({ socket, request }, { from: 0, to: sendsFirstEvent ? 1 : 0 });
      setTimeout(stopServer, CRASH_DELAY_MS);
    };
    const handleRequest = (socket: Socket, head: string, body: string) => {
      const request = findHeader(head, HEADER.requestId) ?? "";
      if (head.startsWith(`GET ${SERVER_PATH.report}`))
        sendWireJson(socket, { ...IDLE_REPORT, born });
      else if (head.startsWith(`GET ${HEALTH_PATH}`))
        sendWireJson(socket, {}, "200 OK", [
          `${HEADER.instance}: ${id}`,
          `${HEADER.born}: ${born}`,
        ]);
      else if (body.includes(CRASHING_BODY) || hasCrashingPart(head))
        startCrash(socket, request);
      else if (isEngine) {
        const from = Number(findHeader(head, HEADER.lastEventId) ?? -1) + 1;
        setTimeout(() => sendWholeStream({ socket, request }, from), streamMs);
      } else {
        setTimeout(() => sendPlainAnswer({ socket, request }), PLAIN_DURATION_MS);
        countPlainRequest();
      }
    };
    const listen = async () => {
      if (isClosed) return;
      const started = createServer({ allowHalfOpen: true }, (socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        readWireRequests(socket, (head, body) => handleRequest(socket, head, body));
      });
      const { address } = await listenOnLoopback(started, port);
      born += 1;
      listener = started;
      putEntry(id, address, born);
    };
    closers.push(() => {
      listener?.close();
      resetConnections();
      release();
    });
    resetters.push(resetConnections);
    await listen();
  };
  await Promise.all(Array.from({ length: count }, (_, i) => startServer(`${kind}-${i}`)));

  return {
    countArrivals: () => arrivals,
    countCrashes: () => crashes,
    resetAfter: (requests) => {
      requestsUntilReset = requests;
    },
    close: () => {
      isClosed = true;
      for (const close of closers) close();
    },
  };
};
