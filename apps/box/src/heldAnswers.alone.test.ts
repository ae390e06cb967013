/**
 * Guards against a box that ends because many answers at once are held: each of them within its limit, all of them together
 * far beyond the memory of its machine.
 */
import { beforeAll, describe, expect, it } from "vitest";
import { HEADER } from "@stairgauge/platform";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import { buildBundle, DEPLOYED_MACHINE } from "./deployedBox.testkit.js";
import { formatHead } from "./endlessAnswers.testkit.js";
import {
  askForHeld,
  askUnread,
  startBoxBeforeServers,
  type WriteAnswer,
} from "./heldAnswers.testkit.js";

const KB = 1_000;
const CHUNKED = "Transfer-Encoding: chunked";
const SIGNED = `${HEADER.signature}: s`;
const EVENTS = "Content-Type: text/event-stream";
const PLAIN = "/again/";
const STREAM = "/draft/";

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const writeChunk =
  (status: string, lines: readonly string[], text: string): WriteAnswer =>
  (id) => ({
    begin:
      formatHead(status, [`${HEADER.requestId}: ${id}`, CHUNKED, ...lines]) +
      formatChunk(text),
  });

const writeWithLength =
  (bytes: number, length: number): WriteAnswer =>
  (id) => ({
    begin:
      formatHead("200 OK", [
        `${HEADER.requestId}: ${id}`,
        SIGNED,
        `Content-Length: ${length}`,
      ]) + "x".repeat(bytes),
  });

const EVENT = `data: ${"x".repeat(KB)}\n\n`;

const writeEvents: WriteAnswer = (id) => ({
  begin: formatHead("200 OK", [`${HEADER.requestId}: ${id}`, CHUNKED, SIGNED, EVENTS]),
  repeat: formatChunk(EVENT),
});

const SOUND = { hasEnded: false, afterwards: [200, 200, 200] };

/**
 * Requests that the servers must have had for a case to show anything. A box that is short of processor time takes no more
 * connections than it can serve.
 */
const MIN_RECEIVED = 100;

const STOPPING = [
  [
    300,
    "500 KB of a sound answer in chunks",
    PLAIN,
    writeChunk("200 OK", [SIGNED], "x".repeat(500 * KB)),
  ],
  [
    400,
    "500 KB of a sound answer in chunks",
    PLAIN,
    writeChunk("200 OK", [SIGNED], "x".repeat(500 * KB)),
  ],
  [400, "500 KB of a sound answer of 600 KB", PLAIN, writeWithLength(500 * KB, 600 * KB)],
  [
    400,
    "120 KB of a failure",
    PLAIN,
    writeChunk("500 Failed", [SIGNED], "x".repeat(120 * KB)),
  ],
  [
    400,
    "500 KB of one event",
    STREAM,
    writeChunk("200 OK", [SIGNED, EVENTS], `data: ${"x".repeat(500 * KB)}`),
  ],
] as const;

const UNREAD = [
  [300, "answers of 2 MB", PLAIN, writeWithLength(2_000 * KB, 2_000 * KB)],
  [300, "streams", STREAM, writeEvents],
] as const;

describe("a box that holds many answers at once", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each(STOPPING)(
    "lives and serves others: %i servers' answers stop after %s",
    async (requests, _, path, write) => {
      const { box, countReceived } = await startBoxBeforeServers(write);
      const { answers, ...outcome } = await askForHeld(box, { path, requests });
      const unanswered = answers.filter((answer) => !answer).length;
      expect({ ...outcome, unanswered, lines: box.listLines().slice(-3) }).toMatchObject({
        ...SOUND,
        unanswered: 0,
      });
      expect(countReceived()).toBeGreaterThanOrEqual(MIN_RECEIVED);
      expect(outcome.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(outcome.meanwhile.filter((status) => status !== 200)).toEqual([]);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each(UNREAD)(
    "lives and serves others: %i clients read nothing of %s",
    async (requests, _, path, write) => {
      const { box, countReceived } = await startBoxBeforeServers(write);
      const outcome = await askUnread(box, { path, requests });
      expect({ ...outcome, lines: box.listLines().slice(-3) }).toMatchObject(SOUND);
      expect(countReceived()).toBeGreaterThanOrEqual(MIN_RECEIVED);
      expect(outcome.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(outcome.meanwhile.filter((status) => status !== 200)).toEqual([]);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
