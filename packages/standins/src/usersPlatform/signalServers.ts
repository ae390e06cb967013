/**
 * Stand-in backend servers that add signals about themselves to their answers: a rate limit in requests per second from all
 * boxes together, that they are leaving, or that they ask for a backoff. They serve each request or refuse it without running
 * it, and record when it arrived.
 */
import { createServer, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import { sendPlainAnswer, sendRefusal, sendWholeStream } from "./rawAnswers.js";
import {
  findHeader,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** Returns the limit that a server announces in its answer number `answer`, counted from 0; undefined for none. */
export type LimitChoice = (answer: number) => string | undefined;

/** Signal in one answer, as whole header lines, and whether the answer refuses the request. */
export type AnswerSignal = Readonly<{ lines: readonly string[]; isRefusal: boolean }>;

/** Returns the signal of answer number `answer`, counted from 0. */
export type SignalChoice = (answer: number) => AnswerSignal;

/** Kind of the servers: engines, which stream, or plain servers. */
export type SignalServerKind = "engine" | "plain";

/** Options of `startSignalServers`. */
export type SignalServersOptions = Readonly<{
  kind: SignalServerKind;
  count: number;
  /** Writes a server's directory entry. */
  putEntry: (id: string, address: string) => void;
}>;

/** A request as a server received it. */
export type SignalArrival = Readonly<{
  /** Request id. */
  request: string;
  /** Time of arrival, in milliseconds of the process's monotonic clock. */
  at: number;
  /** The answer carries a signal. */
  hasSignal: boolean;
  isRefused: boolean;
}>;

/** The running servers; `server` is an index in the order of their ids. */
export type SignalServers = Readonly<{
  /** Sets the limit that the server announces from now on; it replaces any other signal. */
  setLimit: (server: number, naming: LimitChoice) => void;
  /** Sets the signal that the server sends from now on. */
  setSignal: (server: number, choose: SignalChoice) => void;
  /** Writes the server's entry again, unchanged. */
  putEntry: (server: number) => void;
  /** Requests in order of arrival. */
  listArrivals: (server: number) => readonly SignalArrival[];
  close: () => void;
}>;

const NO_SIGNAL: AnswerSignal = { lines: [], isRefusal: false };

const toSignalChoice =
  (chooseLimit: LimitChoice): SignalChoice =>
  (answer) => {
    const limit = chooseLimit(answer);
    if (limit === undefined) return NO_SIGNAL;
    return { lines: [`${HEADER.serverLimit}: ${limit}`], isRefusal: false };
  };

/** Duration of a plain request. */
const PLAIN_DURATION_MS = 20;

const startServer = async (id: string, { kind, putEntry }: SignalServersOptions) => {
  const arrivals: SignalArrival[] = [];
  let choose: SignalChoice = () => NO_SIGNAL;
  let answers = 0;

  const serve = (socket: Socket, head: string) => {
    const request = findHeader(head, HEADER.requestId) ?? "";
    const { lines: headerLines, isRefusal } = choose(answers);
    answers += 1;
    const hasSignal = headerLines.length > 0;
    arrivals.push({ request, at: performance.now(), hasSignal, isRefused: isRefusal });
    if (isRefusal) {
      sendRefusal({ socket, request, headerLines });
      return;
    }
    const from = Number(findHeader(head, HEADER.lastEventId) ?? -1) + 1;
    if (kind === "engine") sendWholeStream({ socket, request, headerLines }, from);
    else
      setTimeout(
        () => sendPlainAnswer({ socket, request, headerLines }),
        PLAIN_DURATION_MS,
      );
  };
  const handleRequest = (socket: Socket, head: string) => {
    if (head.startsWith(`GET ${SERVER_PATH.report}`)) sendWireJson(socket, IDLE_REPORT);
    else if (head.startsWith(`GET ${HEALTH_PATH}`))
      sendWireJson(socket, {}, "200 OK", [`${HEADER.instance}: ${id}`]);
    else serve(socket, head);
  };
  const listener = createServer({ allowHalfOpen: true }, (socket) =>
    readWireRequests(socket, (head) => handleRequest(socket, head)),
  );
  const { address, close } = await listenOnLoopback(listener);
  putEntry(id, address);
  return {
    setSignal: (next: SignalChoice) => {
      choose = next;
    },
    putEntry: () => putEntry(id, address),
    listArrivals: () => arrivals,
    close,
  };
};

/** Starts the servers on loopback; at first they send no signals. */
export const startSignalServers = async (
  options: SignalServersOptions,
): Promise<SignalServers> => {
  const ids = Array.from({ length: options.count }, (_, i) => `${options.kind}-${i}`);
  const servers = await Promise.all(ids.map((id) => startServer(id, options)));
  return {
    setLimit: (server, naming) => servers[server]!.setSignal(toSignalChoice(naming)),
    setSignal: (server, choose) => servers[server]!.setSignal(choose),
    putEntry: (server) => servers[server]!.putEntry(),
    listArrivals: (server) => servers[server]!.listArrivals(),
    close: () => servers.forEach(({ close }) => close()),
  };
};
