/**
 * Guards against a box that ends, or answers nobody, because servers answer in very small pieces: each piece costs memory and
 * processor time besides its bytes.
 */
import { beforeAll, describe, expect, it } from "vitest";
import { HEADER } from "@stairgauge/platform";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import { buildBundle, DEPLOYED_MACHINE } from "./deployedBox.testkit.js";
import { formatHead, type ServerWriting } from "./endlessAnswers.testkit.js";
import { startCrowd } from "./misbehavingClients.testkit.js";
import { askForPieces, startBoxBeforePieces } from "./smallPieces.testkit.js";

const CHUNKED = "Transfer-Encoding: chunked";
const SIGNED = `${HEADER.signature}: s`;
const NOT_RUN = `${HEADER.notRun}: 1`;
const EVENTS = "Content-Type: text/event-stream";
const LAST_CHUNK = "0\r\n\r\n";

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const splitIntoChunks = (text: string) => [...text].map(formatChunk).join("");

/** The head of an answer in chunks to the request with this id. */
const formatAnswerHead = (id: string, status: string, lines: readonly string[]) =>
  formatHead(status, [`${HEADER.requestId}: ${id}`, CHUNKED, ...lines]);

type WritePieces = (id: string) => ServerWriting;

const writeEndless =
  (status: string, lines: readonly string[], piece: string): WritePieces =>
  (id) => ({
    begin: formatAnswerHead(id, status, lines),
    repeat: splitIntoChunks(piece),
  });

const writeEndlessOf =
  (bytes: number): WritePieces =>
  (id) => ({
    begin: formatAnswerHead(id, "200 OK", [SIGNED]),
    repeat: formatChunk("x".repeat(bytes)),
  });

const writeWhole =
  (lines: readonly string[], text: string): WritePieces =>
  (id) => ({
    begin:
      formatAnswerHead(id, "200 OK", [SIGNED, ...lines]) +
      splitIntoChunks(text) +
      LAST_CHUNK,
  });

/** A client's request whose body has no end. */
const writeOpenBody = function* () {
  yield formatRequestHead("/once/open");
  yield formatChunk("x").repeat(60_000);
};

const formatRequestHead = (path: string) =>
  [
    `POST ${path} HTTP/1.1`,
    `${HEADER.host}: ${SITE_HOST}`,
    `${HEADER.authorization}: Token ${SITE_KEY}`,
    `${HEADER.requestId}: open`,
    CHUNKED,
  ].join("\r\n") + "\r\n\r\n";

const LONG_BODY = "x".repeat(300_000);
const PLAIN = "/again/";
const STREAM = "/draft/";

type Case = Readonly<{
  does: string;
  path: string;
  write: WritePieces;
  requests: readonly number[];
}>;

const CASES: readonly Case[] = [
  {
    does: "an answer without end, in chunks of 1 byte",
    path: PLAIN,
    write: writeEndlessOf(1),
    requests: [1, 3, 20, 200],
  },
  {
    does: "an answer without end, in chunks of 2 bytes",
    path: PLAIN,
    write: writeEndlessOf(2),
    requests: [3],
  },
  {
    does: "an answer without end, in chunks of 8 bytes",
    path: PLAIN,
    write: writeEndlessOf(8),
    requests: [100],
  },
  {
    does: "an answer without end, in chunks of 4,096 bytes",
    path: PLAIN,
    write: writeEndlessOf(4_096),
    requests: [200],
  },
  {
    does: "a sound answer of 300,000 bytes, in chunks of 1 byte",
    path: PLAIN,
    write: writeWhole([], LONG_BODY),
    requests: [100],
  },
  {
    does: "a failure without end, in chunks of 1 byte",
    path: PLAIN,
    write: writeEndless("500 Failed", [SIGNED], "x"),
    requests: [3, 100],
  },
  {
    does: "a refusal without end, in chunks of 1 byte",
    path: PLAIN,
    write: writeEndless("503 Full", [NOT_RUN], "x"),
    requests: [3, 100],
  },
  {
    does: "an answer without a signature, in chunks of 1 byte",
    path: PLAIN,
    write: writeEndless("200 OK", [], "x"),
    requests: [100],
  },
  {
    does: "an answer that is no event stream, in chunks of 1 byte, on a route for streams",
    path: STREAM,
    write: writeEndlessOf(1),
    requests: [3, 100],
  },
  {
    does: "one event without end, in chunks of 1 byte",
    path: STREAM,
    write: writeEndless("200 OK", [SIGNED, EVENTS], "x"),
    requests: [1, 3, 100],
  },
  {
    does: "comments, in chunks of 1 byte",
    path: STREAM,
    write: writeEndless("200 OK", [SIGNED, EVENTS], ":\n"),
    requests: [1, 3, 100],
  },
  {
    does: "line feeds, in chunks of 1 byte",
    path: STREAM,
    write: writeEndless("200 OK", [SIGNED, EVENTS], "\n"),
    requests: [1, 3, 100],
  },
  {
    does: "events without end, in chunks of 1 byte",
    path: STREAM,
    write: writeEndless("200 OK", [SIGNED, EVENTS], "data: x\n\n"),
    requests: [3, 100],
  },
];

const RUNS = CASES.flatMap(({ does, requests, ...one }) =>
  requests.map((count) => [does, count, one] as const),
);

const SOUND = { hasEnded: false, unanswered: 0, afterwards: [200, 200, 200] };

describe("a box whose servers answer in small pieces", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each(RUNS)(
    "lives and serves others: %s, to %i at once",
    async (_, requests, { path, write }) => {
      const box = await startBoxBeforePieces(({ id }) => write(id));
      const { answers, ...outcome } = await askForPieces(box, { path, requests });
      expect({ ...outcome, lines: box.listLines().slice(-3) }).toMatchObject(SOUND);
      expect(outcome.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(outcome.meanwhile.filter((status) => status !== 200)).toEqual([]);
      expect(answers).toHaveLength(requests);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  const WHOLE = [
    ["an answer of 300,000 bytes", PLAIN, 1, writeWhole([], LONG_BODY), LONG_BODY.length],
    [
      "an answer of 30,000 bytes",
      PLAIN,
      10,
      writeWhole([], LONG_BODY.slice(0, 30_000)),
      30_000,
    ],
    [
      "a stream of one event",
      STREAM,
      20,
      writeWhole([EVENTS], `data: ${"x".repeat(3_992)}\n\n`),
      4_000,
    ],
  ] as const;

  it.each(WHOLE)(
    "delivers what ends, in chunks of 1 byte: %s",
    async (_, path, requests, write, bytes) => {
      const box = await startBoxBeforePieces(({ id }) => write(id));
      const { answers, ...outcome } = await askForPieces(box, { path, requests });
      expect({ ...outcome, lines: box.listLines().slice(-3) }).toMatchObject(SOUND);
      const whole = { status: 200, isWhole: true, bytes };
      expect(answers).toMatchObject(Array.from(answers, () => whole));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  // Guards against floods from both sides that take half of the time each.
  it(
    "serves others while clients send bodies and servers answer in chunks of 1 byte",
    async () => {
      const box = await startBoxBeforePieces(({ id }) => writeEndlessOf(1)(id));
      const crowd = startCrowd({
        port: box.ports.clients,
        clients: 100,
        write: writeOpenBody,
      });
      const { answers, ...outcome } = await askForPieces(box, {
        path: PLAIN,
        requests: 100,
      });
      crowd.leave();
      expect({ ...outcome, lines: box.listLines().slice(-3) }).toMatchObject(SOUND);
      expect(outcome.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(outcome.meanwhile.filter((status) => status !== 200)).toEqual([]);
      expect(answers).toHaveLength(100);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
