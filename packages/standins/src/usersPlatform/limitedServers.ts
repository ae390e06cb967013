/**
 * Stand-ins of backend servers in need: each may name in its answers how many requests a second it takes from all boxes together.
 * They serve whatever comes, and tell what came when.
 */
import { createServer, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import { sendPlainAnswer, sendWholeStream } from "./soundAnswers.js";
import {
  findHeader,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** What a server names in its answer number `answer`, counted from 0; undefined where it names nothing. */
export type LimitNaming = (answer: number) => string | undefined;

/** What the servers are. */
export type LimitedKind = "engine" | "plain";

/** How the servers are listed. */
export type LimitedServersOptions = Readonly<{
  kind: LimitedKind;
  count: number;
  putEntry: (id: string, address: string) => void;
}>;

/** A request as a server got it, in milliseconds of the process's steady clock. */
export type LimitedArrival = Readonly<{ request: string; at: number; isTold: boolean }>;

/** The servers, by the order in which they are listed. */
export type LimitedServers = Readonly<{
  /** From now on the server names this. */
  setNaming: (server: number, naming: LimitNaming) => void;
  /** Requests, in the order in which they came; `isTold`: the answer names the limit. */
  listArrivals: (server: number) => readonly LimitedArrival[];
  close: () => void;
}>;

/** Time that a plain request takes. */
const PLAIN_MS = 20;

const startServer = async (id: string, { kind, putEntry }: LimitedServersOptions) => {
  const arrivals: LimitedArrival[] = [];
  let makeLimit: LimitNaming = () => undefined;
  let answers = 0;

  const makeLimitLines = () => {
    const limit = makeLimit(answers);
    answers += 1;
    return limit === undefined ? [] : [`${HEADER.serverLimit}: ${limit}`];
  };
  const serve = (socket: Socket, head: string) => {
    const request = findHeader(head, HEADER.requestId) ?? "";
    const more = makeLimitLines();
    arrivals.push({ request, at: performance.now(), isTold: more.length > 0 });
    const from = Number(findHeader(head, HEADER.lastEventId) ?? -1) + 1;
    if (kind === "engine") sendWholeStream({ socket, request, more }, from);
    else setTimeout(() => sendPlainAnswer({ socket, request, more }), PLAIN_MS);
  };
  const takeRequest = (socket: Socket, head: string) => {
    if (head.startsWith(`GET ${SERVER_PATH.report}`)) sendWireJson(socket, IDLE_REPORT);
    else if (head.startsWith(`GET ${HEALTH_PATH}`))
      sendWireJson(socket, {}, "200 OK", [`${HEADER.instance}: ${id}`]);
    else serve(socket, head);
  };
  const listener = createServer({ allowHalfOpen: true }, (socket) =>
    readWireRequests(socket, (head) => takeRequest(socket, head)),
  );
  const { address, close } = await listenOnLoopback(listener);
  putEntry(id, address);
  return {
    setNaming: (next: LimitNaming) => {
      makeLimit = next;
    },
    listArrivals: () => arrivals,
    close,
  };
};

/** Starts the servers; none is in need. */
export const startLimitedServers = async (
  options: LimitedServersOptions,
): Promise<LimitedServers> => {
  const ids = Array.from({ length: options.count }, (_, i) => `${options.kind}-${i}`);
  const servers = await Promise.all(ids.map((id) => startServer(id, options)));
  return {
    setNaming: (server, naming) => servers[server]!.setNaming(naming),
    listArrivals: (server) => servers[server]!.listArrivals(),
    close: () => servers.forEach(({ close }) => close()),
  };
};
