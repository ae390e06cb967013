/**
 * Test helpers: a deployed box before servers that answer once they have read the head of a request, without reading its body,
 * and clients with long bodies.
 */
import { createServer, type Socket } from "node:net";
import { HEADER } from "@stairgauge/platform";
import { listenOnLoopback, startUsersSite } from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  waitFor,
  waitMs,
  type Answer,
} from "./box.testkit.js";
import { startDeployedBox, type DeployedBox } from "./deployedBox.testkit.js";
import { formatHead, writeSoundAnswer } from "./endlessAnswers.testkit.js";

const HEAD_END = "\r\n\r\n";

/** Largest body of a request, as deployments have it. */
const MAX_BODY_BYTES = 4_194_304;

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: MAX_BODY_BYTES,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 15_000,
};

/** Requests that are open at once. */
const CLIENTS = 4;

const DEADLINE_MS = 4_000;

/** Answers a request with this id, of which no more is read unless the connection is resumed. */
export type AnswerEarly = (socket: Socket, id: string) => void;

/** Formats the head of a success without a length. */
export const formatUnframedHead = (id: string, lines: readonly string[] = []): string =>
  formatHead("200 OK", [
    `${HEADER.requestId}: ${id}`,
    `${HEADER.signature}: s`,
    "Connection: close",
    ...lines,
  ]);

/** Starts a server that answers other calls soundly; resolves with its address. */
const startEarlyServer = async (name: string, answer: AnswerEarly): Promise<string> => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    closers.push(() => socket.destroy());
    let received = "";
    const readHead = (bytes: Buffer) => {
      received += bytes.toString("latin1");
      const end = received.indexOf(HEAD_END);
      if (end < 0) return;
      const [method = "", path = ""] = received.split(" ");
      const id = /^request-id: (.*)$/im.exec(received)?.[1]?.trim() ?? "";
      if (method === "GET") {
        received = "";
        const call = { method, path, id, port: 0 };
        socket.write(writeSoundAnswer(name, call).begin);
        return;
      }
      socket.off("data", readHead);
      socket.pause();
      answer(socket, id);
    };
    socket.on("data", readHead);
    socket.on("end", () => socket.end());
    socket.on("error", () => undefined);
  });
  const { address, close } = await listenOnLoopback(server);
  closers.push(close);
  return address;
};

const PAGES = ["page-a", "page-b"];
const ENGINES = ["engine-a", "engine-b"];

const countLines = (box: DeployedBox, event: string): number =>
  box.listLines().filter((line) => line.includes(`"event":"${event}"`)).length;

/** Waits until the box has the configuration and all servers. */
const waitUntilReady = (box: DeployedBox) =>
  waitFor(
    () =>
      countLines(box, "configuration_adopted") > 0 &&
      countLines(box, "server_joined") >= PAGES.length + ENGINES.length,
  );

/** Starts the store, and engines and plain servers that answer early; resolves with the addresses of all. */
const startEarlySite = async (answer: AnswerEarly) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const addresses: string[] = [];
  const startServer = async (name: string) => {
    const address = await startEarlyServer(name, answer);
    addresses.push(address);
    return address;
  };
  for (const name of PAGES) site.putService(name, await startServer(name));
  for (const name of ENGINES) site.putEngine(name, await startServer(name));
  site.putConfiguration({ limits: LIMITS });
  return { store: site.store.address, addresses };
};

/** Starts such a site and a box before it. */
export const startBoxBeforeEarly = async (answer: AnswerEarly): Promise<DeployedBox> => {
  const { store } = await startEarlySite(answer);
  const box = await startDeployedBox({ name: "box-1", store });
  await waitUntilReady(box);
  return box;
};

/** Starts such a site and two boxes; resolves with one that reaches no server, so that the other carries its requests. */
export const startCutOffBoxBeforeEarly = async (
  answer: AnswerEarly,
): Promise<DeployedBox> => {
  const { store, addresses } = await startEarlySite(answer);
  await waitUntilReady(await startDeployedBox({ name: "box-1", store }));
  const box = await startDeployedBox({ name: "box-2", store, cutAddresses: addresses });
  await waitUntilReady(box);
  return box;
};

/** Requests of one route. */
export type EarlyRequests = Readonly<{ route: string; bytes: number; count: number }>;

/** Pause of a client behind each answer; without it a box with the processor time of a small site refuses some. */
const PAUSE_MS = 150;

let nextId = 0;

const askOnce = (box: DeployedBox, { route, bytes }: EarlyRequests): Promise<Answer> => {
  const id = `early-${(nextId += 1)}`;
  return ask(box.ports, {
    path: `/${route}/${id}`,
    id,
    headers: makeGeneration(300, 40),
    body: "x".repeat(bytes),
    deadlineMs: DEADLINE_MS,
  });
};

/** A box that is short of processor time closes connections unread or refuses requests, and their clients come back. */
const isRefused = ({ status }: Answer) => status === 0 || status === 503;

const askUntilTaken = async (
  box: DeployedBox,
  requests: EarlyRequests,
): Promise<Answer> => {
  const until = performance.now() + DEADLINE_MS;
  for (;;) {
    const answer = await askOnce(box, requests);
    await waitMs(PAUSE_MS);
    if (!isRefused(answer) || performance.now() > until) return answer;
  }
};

/** Sends requests, some at once; resolves with their answers. */
export const askEarly = async (
  box: DeployedBox,
  requests: EarlyRequests,
): Promise<readonly Answer[]> => {
  const answers: Answer[] = [];
  let left = requests.count;
  const askInTurn = async () => {
    while (left > 0) {
      left -= 1;
      answers.push(await askUntilTaken(box, requests));
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, askInTurn));
  return answers;
};
