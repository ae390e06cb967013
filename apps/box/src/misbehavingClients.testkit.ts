/**
 * Test helpers: a box as a process of its own on a small machine, clients that send more than it can hold and read
 * no answer, and clients that stay within the limits.
 */
import { request as openRequest, type RequestOptions } from "node:http";
import { connect, type Socket } from "node:net";
import { HEADER, READY_PATH } from "@stairgauge/platform";
import { SITE_HOST, SITE_KEY, startUsersSite } from "@stairgauge/standins";
import { closers, waitFor, waitMs } from "./box.testkit.js";
import { startBoxProcess } from "./boxProcess.testkit.js";
import type { BoxPorts } from "./createLifecycle.js";
import { startWritingServer, writeSoundAnswer } from "./endlessAnswers.testkit.js";
import { watchUse, type ProcessUse } from "./processUse.testkit.js";

/** The machine of the box: memory and open files that the process may use. */
export const MACHINE = { memoryMb: 144, descriptors: 480 } as const;

/** Heap of the box's process: a machine of 200 MB gives 96, and this one has 56 less. */
const HEAP_MB = 40;

/** Memory for request bodies. */
const BODIES_MB = 2;

const SERVERS = 3;

/** How long the crowd stays. */
const CROWD_MS = 6_000;

/** A client whose connection was closed connects again after this, unless its crowd waits longer. */
const RECONNECT_MS = 100;

/** Path of requests whose answers are long. */
export const LONG_ANSWER_PATH = "/again/long";
const LONG_ANSWER_BYTES = 100_000;

/** Body of an ordinary request, in bytes. */
const ORDINARY_BODY = 20_000;
const TRIES = 5;
const TRY_MS = 5_000;
const TRY_PAUSE_MS = 1_000;

/** The process of a box. */
export type SmallBox = Readonly<{
  port: number;
  ports: BoxPorts;
  listLines: () => readonly string[];
  hasEnded: () => boolean;
  readUse: () => ProcessUse;
}>;

const startServer = (name: string) =>
  startWritingServer((call) => {
    if (!call.path.startsWith(LONG_ANSWER_PATH)) return writeSoundAnswer(name, call);
    const { begin } = writeSoundAnswer(name, call);
    const body = "x".repeat(LONG_ANSWER_BYTES);
    return {
      begin:
        begin.replace(/Content-Length: \d+/, `Content-Length: ${body.length}`) + body,
    };
  });

/** Starts the store, the servers, and the compiled program of a box. */
export const startSmallBox = async (): Promise<SmallBox> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  for (let i = 0; i < SERVERS; i += 1)
    site.putService(`plain-${i}`, await startServer(`plain-${i}`));
  site.putConfiguration();
  let readUse = (): ProcessUse => ({ memoryMb: 0, descriptors: 0 });
  const { port, ports, listLines, waitForExit } = await startBoxProcess(
    {
      name: "box-1",
      store: site.store.address,
      heapMb: HEAP_MB,
      descriptors: MACHINE.descriptors,
      more: `clients: { heldMb: ${BODIES_MB} }`,
    },
    (pid) => {
      readUse = watchUse(pid);
    },
  );
  let hasEnded = false;
  void waitForExit().then(() => (hasEnded = true));
  return { port, ports, listLines, hasEnded: () => hasEnded, readUse };
};

/** Sends one request on a new connection; resolves with the status, 0 without a whole answer. */
const sendOnce = (options: RequestOptions, body = ""): Promise<number> =>
  new Promise((resolve) => {
    const outgoing = openRequest({ host: "127.0.0.1", agent: false, ...options });
    const limit = setTimeout(() => outgoing.destroy(), TRY_MS);
    outgoing.on("response", (incoming) => {
      incoming.resume();
      incoming.on("error", () => resolve(0));
      incoming.on("end", () => resolve(incoming.statusCode ?? 0));
    });
    outgoing.on("error", () => resolve(0));
    outgoing.on("close", () => {
      clearTimeout(limit);
      resolve(0);
    });
    outgoing.end(body);
  });

const askOnce = (port: number, id: string): Promise<number> => {
  const headers = {
    [HEADER.host]: SITE_HOST,
    [HEADER.authorization]: `Token ${SITE_KEY}`,
    [HEADER.requestId]: id,
    [HEADER.deadline]: String(TRY_MS),
    "Content-Length": String(ORDINARY_BODY),
  };
  const request = { port, method: "POST", path: `/once/${id}`, headers };
  return sendOnce(request, "x".repeat(ORDINARY_BODY));
};

const retryUntilServed = async (
  box: SmallBox,
  ask: (tries: number) => Promise<number>,
): Promise<number[]> => {
  const statuses: number[] = [];
  while (statuses.length < TRIES && !box.hasEnded()) {
    if (statuses.length > 0) await waitMs(TRY_PAUSE_MS);
    statuses.push(await ask(statuses.length));
    if (statuses.at(-1) === 200) break;
  }
  return statuses;
};

/** Sends an ordinary request on a new connection, a few times at most; resolves with the status of each try, 0 for none. */
export const askInTries = (box: SmallBox, name: string): Promise<number[]> =>
  retryUntilServed(box, (tries) => askOnce(box.port, `${name}-${tries}`));

/** Checks the readiness likewise. */
export const checkReadyInTries = (box: SmallBox): Promise<number[]> =>
  retryUntilServed(box, () => sendOnce({ port: box.ports.ready, path: READY_PATH }));

/** What one client of a crowd does: a block that it writes, or a pause. */
export type Step = string | Readonly<{ pauseMs: number }>;

/** The steps of one client; behind the last one it stays connected. */
export type Writing = Iterator<Step, void>;

const writeAll = (socket: Socket, writing: Writing) => {
  const writeOn = () => {
    while (!socket.destroyed) {
      const next = writing.next();
      if (next.done) return;
      const step = next.value;
      if (typeof step !== "string") {
        setTimeout(writeOn, step.pauseMs);
        return;
      }
      if (!socket.write(step, "latin1")) {
        socket.once("drain", () => setImmediate(writeOn));
        return;
      }
    }
  };
  writeOn();
};

/** Clients of one kind, at one port of a box. */
export type Crowd = Readonly<{
  port: number;
  clients: number;
  write: () => Writing;
  reconnectMs?: number;
}>;

/** Connects clients that write and never read, and again where the box has closed a connection. */
export const startCrowd = ({
  port,
  clients,
  write,
  reconnectMs = RECONNECT_MS,
}: Crowd) => {
  const sockets = new Set<Socket>();
  let isOver = false;
  const open = () => {
    if (isOver) return;
    const socket = connect({ host: "127.0.0.1", port });
    sockets.add(socket);
    socket.pause();
    socket.on("error", () => undefined);
    socket.on("connect", () => writeAll(socket, write()));
    socket.on("close", () => {
      sockets.delete(socket);
      setTimeout(open, reconnectMs);
    });
  };
  for (let i = 0; i < clients; i += 1) open();
  const leave = () => {
    isOver = true;
    for (const socket of sockets) socket.destroy();
  };
  closers.push(leave);
  return { leave };
};

/** Keeps a crowd at the box for a while; sends an ordinary request and checks the readiness meanwhile and afterwards. */
export const runCrowd = async (box: SmallBox, kind: Crowd) => {
  const crowd = startCrowd(kind);
  await Promise.race([waitMs(CROWD_MS), waitFor(box.hasEnded)]);
  const meanwhile = await askInTries(box, "meanwhile");
  const readyMeanwhile = await checkReadyInTries(box);
  crowd.leave();
  const afterwards = await askInTries(box, "afterwards");
  const readyAfterwards = await checkReadyInTries(box);
  return {
    hasEnded: box.hasEnded(),
    meanwhile: meanwhile.at(-1),
    readyMeanwhile: readyMeanwhile.at(-1),
    afterwards: afterwards.at(-1),
    readyAfterwards: readyAfterwards.at(-1),
    use: box.readUse(),
  };
};

/** Writes one block and reads until the connection ends or `isWhole`; resolves with what was read. */
export const sendRaw = (
  port: number,
  blocks: readonly string[],
  isWhole: (text: string) => boolean,
): Promise<string> =>
  new Promise((resolve) => {
    let text = "";
    const socket = connect({ host: "127.0.0.1", port, noDelay: true });
    closers.push(() => socket.destroy());
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      if (!isWhole(text)) return;
      resolve(text);
      socket.destroy();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(text));
    for (const block of blocks) socket.write(block, "latin1");
  });
