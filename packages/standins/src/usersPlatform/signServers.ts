/**
 * Stand-ins of backend servers that say something of themselves in their answers: how many requests a second they take from all
 * boxes together, that they leave, that they want rest. They serve what comes, or refuse it unrun, and tell what came when.
 */
import { createServer, type Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import { HEALTH_PATH, listenOnLoopback } from "./loopback.js";
import { sendPlainAnswer, sendRefusal, sendWholeStream } from "./soundAnswers.js";
import {
  findHeader,
  IDLE_REPORT,
  readWireRequests,
  sendWireJson,
} from "./wireRequests.js";

/** What a server names in its answer number `answer`, counted from 0; undefined where it names nothing. */
export type LimitNaming = (answer: number) => string | undefined;

/** What a server says in an answer, as whole header lines, and whether it refuses the request with it. */
export type ServerSaying = Readonly<{ lines: readonly string[]; isRefusal: boolean }>;

/** Chooses it for answer number `answer`, counted from 0. */
export type SayingChoice = (answer: number) => ServerSaying;

/** What the servers are. */
export type SignServerKind = "engine" | "plain";

/** How the servers are listed. */
export type SignServersOptions = Readonly<{
  kind: SignServerKind;
  count: number;
  putEntry: (id: string, address: string) => void;
}>;

/** A request as a server got it, in milliseconds of the process's steady clock. */
export type SignArrival = Readonly<{
  request: string;
  at: number;
  /** The answer says something of the server. */
  isTold: boolean;
  isRefused: boolean;
}>;

/** The servers, by the order in which they are listed. */
export type SignServers = Readonly<{
  /** From now on the server names this. */
  setNaming: (server: number, naming: LimitNaming) => void;
  /** From now on the server says this. */
  setSaying: (server: number, choose: SayingChoice) => void;
  /** Writes the server's entry again, as it was. */
  putEntry: (server: number) => void;
  /** Requests, in the order in which they came. */
  listArrivals: (server: number) => readonly SignArrival[];
  close: () => void;
}>;

const NOTHING_SAID: ServerSaying = { lines: [], isRefusal: false };

const toSaying =
  (name: LimitNaming): SayingChoice =>
  (answer) => {
    const limit = name(answer);
    if (limit === undefined) return NOTHING_SAID;
    return { lines: [`${HEADER.serverLimit}: ${limit}`], isRefusal: false };
  };

/** Time that a plain request takes. */
const PLAIN_MS = 20;

const startServer = async (id: string, { kind, putEntry }: SignServersOptions) => {
  const arrivals: SignArrival[] = [];
  let choose: SayingChoice = () => NOTHING_SAID;
  let answers = 0;

  const serve = (socket: Socket, head: string) => {
    const request = findHeader(head, HEADER.requestId) ?? "";
    const { lines: more, isRefusal } = choose(answers);
    answers += 1;
    const isTold = more.length > 0;
    arrivals.push({ request, at: performance.now(), isTold, isRefused: isRefusal });
    if (isRefusal) {
      sendRefusal({ socket, request, more });
      return;
    }
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
    setSaying: (next: SayingChoice) => {
      choose = next;
    },
    putEntry: () => putEntry(id, address),
    listArrivals: () => arrivals,
    close,
  };
};

/** Starts the servers; none is in need. */
export const startSignServers = async (
  options: SignServersOptions,
): Promise<SignServers> => {
  const ids = Array.from({ length: options.count }, (_, i) => `${options.kind}-${i}`);
  const servers = await Promise.all(ids.map((id) => startServer(id, options)));
  return {
    setNaming: (server, naming) => servers[server]!.setSaying(toSaying(naming)),
    setSaying: (server, choose) => servers[server]!.setSaying(choose),
    putEntry: (server) => servers[server]!.putEntry(),
    listArrivals: (server) => servers[server]!.listArrivals(),
    close: () => servers.forEach(({ close }) => close()),
  };
};
