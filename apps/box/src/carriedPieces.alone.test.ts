/**
 * Guards against boxes that end, or answer nobody, because a server answers in very small pieces and one box carries its
 * answers for another: each piece costs memory and processor time at both.
 */
import { request as openRequest } from "node:http";
import { beforeAll, describe, expect, it } from "vitest";
import { HEADER } from "@stairgauge/platform";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import {
  BUSY_MACHINE_TIMEOUT_MS,
  closers,
  makeGeneration,
  waitMs,
} from "./box.testkit.js";
import type { BoxPorts } from "./createLifecycle.js";
import {
  buildBundle,
  DEPLOYED_MACHINE,
  startDeployedBox,
} from "./deployedBox.testkit.js";
import { formatHead, type ServerWriting } from "./endlessAnswers.testkit.js";
import { askForPieces, awaitService, startPiecesSite } from "./smallPieces.testkit.js";

const EVENTS = "Content-Type: text/event-stream";
const PLAIN = "/again/";
const STREAM = "/draft/";
const LAST_CHUNK = "0\r\n\r\n";

type WritePieces = (id: string) => ServerWriting;

const splitIntoChunks = (text: string) =>
  [...text].map((piece) => `1\r\n${piece}\r\n`).join("");

const formatAnswerHead = (id: string, lines: readonly string[]) =>
  formatHead("200 OK", [
    `${HEADER.requestId}: ${id}`,
    `${HEADER.signature}: s`,
    "Transfer-Encoding: chunked",
    ...lines,
  ]);

const writeEndless =
  (text: string, lines: readonly string[] = []): WritePieces =>
  (id) => ({ begin: formatAnswerHead(id, lines), repeat: splitIntoChunks(text) });

const writeWhole =
  (text: string, lines: readonly string[] = []): WritePieces =>
  (id) => ({
    begin: formatAnswerHead(id, lines) + splitIntoChunks(text) + LAST_CHUNK,
  });

const CASES = [
  ["an answer without end", PLAIN, writeEndless("x"), [1, 3, 100]],
  ["events without end", STREAM, writeEndless("data: x\n\n", [EVENTS]), [3, 100]],
  ["comments", STREAM, writeEndless(":\n", [EVENTS]), [3, 100]],
] as const;

const RUNS = CASES.flatMap(([does, path, write, counts]) =>
  counts.map((requests) => [does, requests, path, write] as const),
);

/** Fills what the operating system holds of an answer that a client does not read. */
const FILLING = `data: ${"x".repeat(990)}\n\n`.repeat(8_000);

/** Requests whose clients read nothing, and how long they stay. */
const UNREAD = 60;
const UNREAD_MS = 8_000;

const BODY = "x".repeat(100_000);
const EVENT = `data: ${"x".repeat(3_992)}\n\n`;

const WHOLE = [
  ["an answer of 100,000 bytes", 1, PLAIN, writeWhole(BODY), BODY.length],
  ["answers of 10,000 bytes", 10, PLAIN, writeWhole(BODY.slice(0, 10_000)), 10_000],
  ["streams of one event", 20, STREAM, writeWhole(EVENT, [EVENTS]), EVENT.length],
] as const;

const SOUND = { hasEnded: false, unanswered: 0, afterwards: [200, 200, 200] };

/** Starts two boxes, one of which reaches no server, so that the other carries for it. */
const startBoxes = async (write: WritePieces) => {
  const { store, addresses } = await startPiecesSite(({ id }) => write(id));
  const carrier = await startDeployedBox({ name: "box-1", store });
  await awaitService(carrier);
  const asking = await startDeployedBox({
    name: "box-2",
    store,
    cutAddresses: addresses,
  });
  await awaitService(asking);
  return { carrier, asking };
};

/** Sends a request for pieces, and reads no more of the answer than its head. */
const openUnread = (
  ports: BoxPorts,
  { path, id }: Readonly<{ path: string; id: string }>,
) => {
  let hasHead = false;
  const outgoing = openRequest({
    host: "127.0.0.1",
    port: ports.clients,
    path: `${path}${id}-pieces`,
    method: "POST",
    agent: false,
    headers: {
      Host: SITE_HOST,
      [HEADER.requestId]: id,
      [HEADER.deadline]: "30000",
      [HEADER.authorization]: `Token ${SITE_KEY}`,
      ...makeGeneration(300, 40),
    },
  });
  closers.push(() => outgoing.destroy());
  outgoing.on("error", () => undefined);
  outgoing.on("response", (incoming) => {
    hasHead = true;
    incoming.on("error", () => undefined);
    incoming.pause();
  });
  outgoing.end("hello");
  return { hasHead: () => hasHead };
};

describe("a box that carries answers in chunks of 1 byte, and the box that asks for them,", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each(RUNS)(
    "live and serve others: %s, to %i at once",
    async (_, requests, path, write) => {
      const { carrier, asking } = await startBoxes(write);
      const { answers, ...outcome } = await askForPieces(asking, { path, requests });
      expect({ ...outcome, lines: asking.listLines().slice(-3) }).toMatchObject(SOUND);
      expect(carrier.hasEnded()).toBe(false);
      expect(outcome.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(carrier.readUse().memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(outcome.meanwhile.filter((status) => status !== 200)).toEqual([]);
      expect(answers).toHaveLength(requests);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "live and serve others: events without end, to clients that read nothing",
    async () => {
      const { carrier, asking } = await startBoxes((id) => ({
        begin:
          formatAnswerHead(id, [EVENTS]) +
          `${FILLING.length.toString(16)}\r\n${FILLING}\r\n`,
        repeat: splitIntoChunks("data: x\n\n"),
      }));
      const opened = Array.from({ length: UNREAD }, (_, i) =>
        openUnread(asking.ports, { path: STREAM, id: `unread-${i}` }),
      );
      await waitMs(UNREAD_MS);
      expect(opened.filter((one) => one.hasHead()).length).toBeGreaterThan(0);
      const { answers, ...outcome } = await askForPieces(asking, {
        path: STREAM,
        requests: 0,
      });
      expect(answers).toEqual([]);
      expect({ ...outcome, lines: asking.listLines().slice(-3) }).toMatchObject(SOUND);
      expect(carrier.hasEnded()).toBe(false);
      expect(outcome.memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
      expect(carrier.readUse().memoryMb).toBeLessThanOrEqual(DEPLOYED_MACHINE.memoryMb);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each(WHOLE)(
    "deliver what ends: %s",
    async (_, requests, path, write, bytes) => {
      const { asking } = await startBoxes(write);
      const { answers, ...outcome } = await askForPieces(asking, { path, requests });
      expect({ ...outcome, lines: asking.listLines().slice(-3) }).toMatchObject(SOUND);
      const whole = { status: 200, isWhole: true, bytes };
      expect(answers).toMatchObject(Array.from(answers, () => whole));
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
