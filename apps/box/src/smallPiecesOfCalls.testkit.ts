/**
 * Test helpers: deployed boxes whose own calls, to engines, to health checks and to the store, are answered in chunks of one
 * byte.
 */
import { request as openRequest, createServer, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import {
  IDLE_REPORT,
  listenOnLoopback,
  startUsersSite,
  type UsersSite,
} from "@stairgauge/standins";
import { closers, waitMs } from "./box.testkit.js";
import { startDeployedBox, type DeployedBox } from "./deployedBox.testkit.js";
import {
  formatHead,
  startWritingServer,
  writeSoundAnswer,
  type ChooseWriting,
  type ServerWriting,
} from "./endlessAnswers.testkit.js";
import { askSound, awaitService } from "./smallPieces.testkit.js";

const CHUNKED = "Transfer-Encoding: chunked";
const LAST_CHUNK = "0\r\n\r\n";
const BLOCK_BYTES = 64 * 1024;
const SOUND_EVERY_MS = 150;

/** Path of requests whose answers prove no end, so that the box asks the server's health check. */
export const UNPROVEN = "unproven";

const formatChunks = (text: string) =>
  [...text].map((byte) => `1\r\n${byte}\r\n`).join("");

const formatChunkedHead = (lines: readonly string[] = []) =>
  formatHead("200 OK", [CHUNKED, ...lines]);

/** An answer in chunks of one byte that has no end. */
export const ENDLESS: ServerWriting = {
  begin: formatChunkedHead(),
  repeat: formatChunks("x"),
};

/** A report with spaces up to the length, in chunks of one byte. */
export const writeLongReport = (bytes: number): ServerWriting => {
  const report = JSON.stringify(IDLE_REPORT).padEnd(bytes, " ");
  return { begin: formatChunkedHead() + formatChunks(report) + LAST_CHUNK };
};

const isReport = (path: string) => path === SERVER_PATH.report;

/** How the box's own calls to servers are answered; soundly if undefined. */
export type CallAnswers = Readonly<{
  report?: ServerWriting;
  health?: ServerWriting;
}>;

const chooseAnswer =
  (name: string, { report, health }: CallAnswers): ChooseWriting =>
  (call) => {
    if (call.method === "GET")
      return (isReport(call.path) ? report : health) ?? writeSoundAnswer(name, call);
    if (!call.path.endsWith(UNPROVEN)) return writeSoundAnswer(name, call);
    const lines = [`${HEADER.requestId}: ${call.id}`, `${HEADER.signature}: s`];
    return { begin: `${formatHead("200 OK", lines)}ok`, isClosed: true };
  };

/** What the store's proxy does with an answer. */
export type StoreWriting = "as_it_is" | "small_pieces" | "long_small_pieces" | "endless";

/** Chooses it for the call with this number at this path, with its query. */
export type ChooseStoreWriting = (call: number, path: string) => StoreWriting;

/** Rows of the answer and spaces up to this length. */
const LONG_ANSWER_BYTES = 300_000;

const readAnswer = async (incoming: IncomingMessage) => {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("latin1");
};

const writeOn = (socket: Socket, block: Buffer) => {
  if (socket.destroyed) return;
  if (socket.write(block)) setImmediate(() => writeOn(socket, block));
  else socket.once("drain", () => setImmediate(() => writeOn(socket, block)));
};

const writeWithoutEnd = (socket: Socket) => {
  const chunk = formatChunks("[");
  socket.write(formatChunkedHead());
  writeOn(socket, Buffer.from(chunk.repeat(BLOCK_BYTES / chunk.length)));
};

/** Starts a proxy before the store, which holds each answer until it is whole and then writes it as is chosen. */
export const startPiecesProxy = async (
  site: UsersSite,
  choose: ChooseStoreWriting,
): Promise<string> => {
  let calls = 0;
  const [host, port] = site.store.address.split(":");
  const server = createServer((incoming, response) => {
    const socket = incoming.socket;
    const path = incoming.url ?? "/";
    const writing = choose((calls += 1), path);
    if (writing === "endless") {
      writeWithoutEnd(socket);
      return;
    }
    const { method, headers } = incoming;
    const asked = openRequest({ host, port, path, method, headers, agent: false });
    asked.on("error", () => socket.destroy());
    asked.on("response", (answer) => {
      const status = answer.statusCode ?? 0;
      const era = answer.headers[HEADER.storeEra.toLowerCase()];
      const lines = [CHUNKED, `${HEADER.storeEra}: ${String(era)}`, "Connection: close"];
      void readAnswer(answer).then((text) => {
        if (writing === "as_it_is") {
          response.writeHead(status, answer.headers).end(text, "latin1");
          return;
        }
        const length = writing === "long_small_pieces" ? LONG_ANSWER_BYTES : 0;
        const body = formatChunks(text.padEnd(length, " ")) + LAST_CHUNK;
        socket.end(Buffer.from(formatHead(`${status} OK`, lines) + body, "latin1"));
      });
    });
    response.on("close", () => asked.destroy());
    incoming.pipe(asked);
  });
  server.on("connection", (socket) => socket.on("error", () => undefined));
  const { address, close } = await listenOnLoopback(server);
  closers.push(close);
  return address;
};

/** What the box's calls get. */
export type PiecesOfCalls = Readonly<{
  engines: number;
  answers?: CallAnswers;
  store?: ChooseStoreWriting;
}>;

/** Starts the site and its box; engines answer so from the start, the store does if it is said. */
export const startBoxBeforeCalls = async ({
  engines,
  answers = {},
  store,
}: PiecesOfCalls): Promise<DeployedBox & Readonly<{ site: UsersSite }>> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  for (let i = 0; i < engines; i += 1) {
    const name = `engine-${i}`;
    site.putEngine(name, await startWritingServer(chooseAnswer(name, answers)));
  }
  for (const name of ["page-a", "page-b"])
    site.putService(name, await startWritingServer(chooseAnswer(name, answers)));
  const other = await startWritingServer((call) => writeSoundAnswer("other", call));
  site.putOtherService("other", other);
  const address = store ? await startPiecesProxy(site, store) : site.store.address;
  const box = await startDeployedBox({ name: "box-1", store: address });
  await awaitService(box);
  return { ...box, site };
};

/** What came of sound requests, and what the box did meanwhile. */
export type CallsOutcome = Readonly<{
  hasEnded: boolean;
  memoryMb: number;
  /** Statuses of the sound requests that were not served, 0 for no answer. */
  notServed: readonly number[];
}>;

/** Sends sound requests for this time. */
export const watchBox = async (
  box: DeployedBox,
  durationMs: number,
): Promise<CallsOutcome> => {
  const until = performance.now() + durationMs;
  const sound: Promise<number>[] = [];
  while (performance.now() < until) {
    sound.push(askSound(box, `sound-${sound.length}`));
    await waitMs(SOUND_EVERY_MS);
  }
  const statuses = await Promise.all(sound);
  return {
    hasEnded: box.hasEnded(),
    memoryMb: box.readUse().memoryMb,
    notServed: statuses.filter((status) => status !== 200),
  };
};
