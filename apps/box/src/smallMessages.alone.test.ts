/**
 * Guards against a box that ends, or answers nobody, because other processes send it messages in very small pieces, or very
 * small messages, at the port for peers: each costs memory and processor time besides its bytes.
 */
import { beforeAll, describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import { buildBundle, DEPLOYED_MACHINE } from "./deployedBox.testkit.js";
import { runCrowd, sendRaw, type Writing } from "./misbehavingClients.testkit.js";
import {
  formatCallHead,
  formatFrame,
  OPEN_PREFACE,
  PREFACE,
} from "./rawFrames.testkit.js";
import { startBoxBeforePieces } from "./smallPieces.testkit.js";

const TELL_RUNS = "/stairgauge.Peers/TellRuns";
const EXCHANGE_TABLES = "/stairgauge.Peers/ExchangeTables";

/** Frames in each block that a client writes, and blocks. */
const FRAMES_A_WRITE = 4_000;
const MAX_WRITES = 2_000;

/** What a box takes of a message at most: the length is told before it. */
const LONG_MESSAGE = Buffer.from([0, 0, 0x3f, 0xff, 0xff]).toString("latin1");

/** Payload that a call may send without an answer of the other box to it (RFC 9113, section 6.9.2). */
const FIRST_WINDOW = 65_000;
const FRAME_BYTES = 16_000;

const listStreams = (calls: number, first = 1) =>
  Array.from({ length: calls }, (_, i) => first + 2 * i);

/** Begins long messages on this many calls, and goes on in pieces of some bytes, each in a frame of its own. */
const writePartly = (calls: number, bytes: number) =>
  function* (): Writing {
    const streams = listStreams(calls);
    yield PREFACE;
    for (const stream of streams)
      yield (
        formatCallHead(TELL_RUNS, stream) +
        formatFrame("data", { stream, payload: LONG_MESSAGE })
      );
    const round = streams
      .map((stream) => formatFrame("data", { stream, payload: "x".repeat(bytes) }))
      .join("");
    const block = round.repeat(Math.ceil(FRAMES_A_WRITE / calls));
    for (let i = 0; i < MAX_WRITES; i += 1) yield block;
  };

const formatWireMessage = (text: string) => {
  const head = Buffer.alloc(5);
  head.writeUInt32BE(text.length, 1);
  return head.toString("latin1") + text;
};

/** Sends the same message again and again in frames of this size, on one call after the other. */
const writeMessages = (path: string, text: string, frameBytes: number) =>
  function* (): Writing {
    yield OPEN_PREFACE;
    const message = formatWireMessage(text);
    const all = message.repeat(Math.floor(FIRST_WINDOW / message.length));
    for (let stream = 1; stream < 2 * MAX_WRITES; stream += 2) {
      let block = formatCallHead(path, stream);
      for (let at = 0; at < all.length; at += frameBytes)
        block += formatFrame("data", {
          stream,
          payload: all.slice(at, at + frameBytes),
        });
      yield block + formatFrame("reset", { stream, payload: "\0\0\0\x08" });
    }
  };

/** Sends questions on this many calls, whose answers can't be sent, so that the rest of them waits. */
const writeUnread = (calls: number, frameBytes: number) =>
  function* (): Writing {
    yield PREFACE;
    const message = formatWireMessage('{"id":1}');
    const all = message.repeat(Math.floor(FIRST_WINDOW / message.length));
    for (const stream of listStreams(calls))
      yield formatCallHead(EXCHANGE_TABLES, stream);
    for (let at = 0; at < all.length; at += frameBytes) {
      const payload = all.slice(at, at + frameBytes);
      yield listStreams(calls)
        .map((stream) => formatFrame("data", { stream, payload }))
        .join("");
    }
  };

const EMPTY_UPDATE = JSON.stringify({ box: "b", whole: false, put: [], drop: [] });

const KINDS = [
  ["a message without end, in frames of 1 byte", writePartly(1, 1)],
  [
    "a message without end on each of 100 calls, in frames of 1 byte",
    writePartly(100, 1),
  ],
  [
    "a message without end on each of 100 calls, in frames of 8 bytes",
    writePartly(100, 8),
  ],
  ["empty messages", writeMessages(TELL_RUNS, "", FRAME_BYTES)],
  ["empty messages in frames of 1 byte", writeMessages(TELL_RUNS, "", 1)],
  ["updates without content", writeMessages(TELL_RUNS, EMPTY_UPDATE, FRAME_BYTES)],
  [
    "updates without content, in frames of 1 byte",
    writeMessages(TELL_RUNS, EMPTY_UPDATE, 1),
  ],
  [
    "questions of an unknown kind",
    writeMessages(EXCHANGE_TABLES, '{"id":1}', FRAME_BYTES),
  ],
  ["questions on 100 calls whose answers can't be sent", writeUnread(100, 650)],
  [
    "questions on 100 calls whose answers can't be sent, in frames of 1 byte",
    writeUnread(100, 1),
  ],
] as const;

const RUNS = [1, 20].flatMap((clients) =>
  KINDS.map(([does, write]) => [clients, does, write] as const),
);

describe("a box at whose port for peers", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each(RUNS)(
    "%i connections send small pieces lives and serves others: %s",
    async (clients, _, write) => {
      const box = await startBoxBeforePieces(() => ({ begin: "" }));
      const { use, ...seen } = await runCrowd(
        { ...box, port: box.ports.clients },
        { port: box.ports.peers, clients, write },
      );
      expect({ ...seen, use, lines: box.listLines().slice(-3) }).toMatchObject({
        hasEnded: false,
        meanwhile: 200,
        readyMeanwhile: 200,
        afterwards: 200,
        readyAfterwards: 200,
      });
      expect(use.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each([10, 30_000])(
    "a question of %i more bytes in frames of 1 byte is answered",
    async (bytes) => {
      const box = await startBoxBeforePieces(() => ({ begin: "" }));
      const question = JSON.stringify({ id: 7, more: "x".repeat(bytes) });
      const frames = [...formatWireMessage(question)].map((payload) =>
        formatFrame("data", { stream: 1, payload }),
      );
      const blocks = [OPEN_PREFACE, formatCallHead(EXCHANGE_TABLES, 1), frames.join("")];
      const isAnswered = (text: string) => text.includes('{"id":7,"failed":');
      const answer = await sendRaw(box.ports.peers, blocks, isAnswered);
      expect(isAnswered(answer)).toBe(true);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
