/**
 * Guards against clients that end or block a box: by bodies that stay open, in large or very small chunks, and by
 * requests sent ahead whose answers they don't read.
 */
import { beforeEach, describe, expect, it } from "vitest";
import { HEADER } from "@stairgauge/platform";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import {
  askInTries,
  sendRaw,
  LONG_ANSWER_PATH,
  MACHINE,
  runCrowd,
  startSmallBox,
  type SmallBox,
  type Writing,
} from "./misbehavingClients.testkit.js";

/** Requests that a client sends ahead in one write, and how many writes it makes at most. */
const REQUESTS_A_WRITE = 200;
const MAX_WRITES = 200;

/** The site's largest body, and one that stops just short of it. */
const LARGEST_BODY = 65_536;
const OPEN_BODY = 65_024;
const MANY_CHUNKS = 60_000;
const SLOW_CHUNK_MS = 20;

let sequence = 0;

const formatHead = (line: string, headers: readonly string[]) =>
  [line, ...headers].join("\r\n") + "\r\n\r\n";

const formatRequest = (path: string, more: readonly string[] = []) => {
  sequence += 1;
  return formatHead(`POST ${path} HTTP/1.1`, [
    `${HEADER.host}: ${SITE_HOST}`,
    `${HEADER.authorization}: Token ${SITE_KEY}`,
    `${HEADER.requestId}: crowd-${sequence}`,
    `${HEADER.deadline}: 4000`,
    ...more,
  ]);
};

const formatUpload = () => formatRequest("/once/upload", ["Transfer-Encoding: chunked"]);

const formatChunk = (bytes: number) =>
  `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

const SMALL_CHUNKS = formatChunk(1).repeat(MANY_CHUNKS);
const TOO_MANY_SMALL_CHUNKS = formatChunk(1).repeat(2 * LARGEST_BODY);
const LARGE_CHUNKS = formatChunk(OPEN_BODY / 2).repeat(2);

/** Writes a body that isn't ended. */
const writeOpenBody = (chunks: string) =>
  function* (): Writing {
    yield formatUpload();
    yield chunks;
  };

/** Writes a body that isn't ended, a byte at a time. */
const writeSlowBody = function* (): Writing {
  yield formatUpload();
  for (let i = 0; i < MANY_CHUNKS; i += 1) {
    yield formatChunk(1);
    yield { pauseMs: SLOW_CHUNK_MS };
  }
};

const writeOpenHead = function* (): Writing {
  yield formatUpload().slice(0, -2);
};

const writeNothing = function* (): Writing {};

/** Writes requests without waiting for answers. */
const writeAhead = (format: () => string) =>
  function* (): Writing {
    for (let i = 0; i < MAX_WRITES; i += 1)
      yield Array.from({ length: REQUESTS_A_WRITE }, format).join("");
  };

const NO_BODY = "Content-Length: 0";

const formatOnce = () =>
  formatRequest("/once/ahead", [`Idempotency-Key: key-${sequence}`, NO_BODY]);

const formatUnknownKey = () =>
  formatRequest("/once/ahead", [NO_BODY]).replace(
    SITE_KEY,
    `unknown-${String(sequence)}`,
  );

const formatLongHead = () =>
  formatRequest("/once/ahead", [
    NO_BODY,
    ...Array.from({ length: 900 }, (_, i) => `h-${i}: 1`),
  ]);

const ONLY_HOST = formatHead("POST /once/ahead HTTP/1.1", [
  `${HEADER.host}: ${SITE_HOST}`,
]);
const UNKNOWN_HOST = formatHead("GET / HTTP/1.1", [`${HEADER.host}: unknown.example`]);
const NO_HOST = formatHead("GET / HTTP/1.1", ["Accept: */*"]);
const OLD_VERSION = formatHead("GET / HTTP/1.0", [
  `${HEADER.host}: unknown.example`,
  "Connection: keep-alive",
]);

/** Clients of one kind. */
type Kind = Readonly<{ does: string; clients: number; write: () => Writing }>;

const CROWDS: readonly Kind[] = [
  {
    does: "leave bodies open, in chunks of one byte",
    clients: 10,
    write: writeOpenBody(SMALL_CHUNKS),
  },
  {
    does: "leave bodies open beyond the largest one, in chunks of one byte",
    clients: 10,
    write: writeOpenBody(TOO_MANY_SMALL_CHUNKS),
  },
  {
    does: "leave bodies open, in two chunks",
    clients: 36,
    write: writeOpenBody(LARGE_CHUNKS),
  },
  {
    does: "send requests ahead that run once, each with a new key",
    clients: 5,
    write: writeAhead(formatOnce),
  },
  {
    does: "send requests ahead that may be repeated",
    clients: 5,
    write: writeAhead(() => formatRequest("/again/ahead", [NO_BODY])),
  },
  {
    does: "send requests ahead, each with a key that isn't known",
    clients: 5,
    write: writeAhead(formatUnknownKey),
  },
  {
    does: "send requests ahead with no header but the host",
    clients: 5,
    write: writeAhead(() => ONLY_HOST),
  },
  {
    does: "send requests ahead for an unknown host",
    clients: 20,
    write: writeAhead(() => UNKNOWN_HOST),
  },
  {
    does: "send requests ahead without a host",
    clients: 20,
    write: writeAhead(() => NO_HOST),
  },
  {
    does: "send requests ahead in an old version of the protocol",
    clients: 20,
    write: writeAhead(() => OLD_VERSION),
  },
  {
    does: "send requests ahead whose answers are long",
    clients: 20,
    write: writeAhead(() => formatRequest(LONG_ANSWER_PATH, [NO_BODY])),
  },
  {
    does: "send requests ahead with hundreds of headers",
    clients: 20,
    write: writeAhead(formatLongHead),
  },
  {
    does: "write a body slowly, in chunks of one byte",
    clients: 36,
    write: writeSlowBody,
  },
  {
    does: "don't end a head",
    clients: 60,
    write: writeOpenHead,
  },
  {
    does: "send nothing",
    clients: 60,
    write: writeNothing,
  },
];

describe("a box on a small machine stays up and answers others while clients that don't read", () => {
  let box: SmallBox;

  beforeEach(async () => {
    box = await startSmallBox();
    expect((await askInTries(box, "before")).at(-1)).toBe(200);
  }, BUSY_MACHINE_TIMEOUT_MS);

  it.each(CROWDS.map((crowd) => [crowd.does, crowd] as const))(
    "%s",
    async (_, { clients, write }) => {
      const { use, ...seen } = await runCrowd(box, { port: box.port, clients, write });
      expect({ ...seen, use }).toMatchObject({
        hasEnded: false,
        meanwhile: 200,
        afterwards: 200,
      });
      expect(use.memoryMb).toBeLessThanOrEqual(MACHINE.memoryMb);
      expect(use.descriptors).toBeLessThanOrEqual(MACHINE.descriptors);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});

const countAnswers = (text: string) => text.split("HTTP/1.1 200 OK").length - 1;

/** Lists the ids of the requests that were answered, in the order of the answers. */
const listAnswered = (text: string) =>
  [...text.matchAll(/^request-id: (.*)\r$/gim)].map(([, id]) => id);

describe("a box on a small machine serves a client within the limits that", () => {
  let box: SmallBox;

  beforeEach(async () => {
    box = await startSmallBox();
    expect((await askInTries(box, "before")).at(-1)).toBe(200);
  }, BUSY_MACHINE_TIMEOUT_MS);

  it(
    "sends three requests ahead and reads their answers",
    async () => {
      const first = sequence + 1;
      const requests = Array.from({ length: 3 }, () =>
        formatRequest("/once/ahead", [NO_BODY]),
      );
      const text = await sendRaw(
        box.port,
        [requests.join("")],
        (read) => countAnswers(read) === 3 && read.endsWith("ok"),
      );
      expect(listAnswered(text)).toEqual([0, 1, 2].map((i) => `crowd-${first + i}`));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "sends the next request right behind a body",
    async () => {
      const body = "x".repeat(LARGEST_BODY);
      const upload = formatRequest("/once/ahead", [`Content-Length: ${body.length}`]);
      const next = formatRequest("/once/ahead", [NO_BODY]);
      const text = await sendRaw(
        box.port,
        [upload + body + next + next],
        (read) => countAnswers(read) === 3 && read.endsWith("ok"),
      );
      expect(countAnswers(text)).toBe(3);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "sends the largest body in chunks of one byte",
    async () => {
      const text = await sendRaw(
        box.port,
        [formatUpload(), formatChunk(1).repeat(LARGEST_BODY), "0\r\n\r\n"],
        (read) => read.endsWith("ok"),
      );
      expect(countAnswers(text)).toBe(1);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
