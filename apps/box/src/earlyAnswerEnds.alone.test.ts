/**
 * Guards against a part of an answer that a client gets as all of it: a server answers a long request at once, without a length,
 * and resets the connection while the box still writes the request.
 */
import type { Socket } from "node:net";
import { beforeAll, describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS, type Answer } from "./box.testkit.js";
import { buildBundle, type DeployedBox } from "./deployedBox.testkit.js";
import {
  askEarly,
  formatUnframedHead,
  startBoxBeforeEarly,
  startCutOffBoxBeforeEarly,
  type AnswerEarly,
} from "./earlyAnswerEnds.testkit.js";

/** More than the operating system takes of a request that its server does not read. */
const LONG_BYTES = 4_000_000;
/** Less than that. */
const SHORT_BYTES = 900_000;

/** Close to the largest body that is carried. */
const CARRIED_BYTES = 2_000_000;

const REQUESTS = 12;

const EVENTS = "Content-Type: text/event-stream";

const writeEvents = (count: number) =>
  Array.from({ length: count }, (_, at) => `id: ${at}\ndata: ${at}\n\n`).join("");

/** Ways to reset a connection; the operating system resets one that is closed with unread bytes. */
const RESETS = {
  reset: (socket: Socket) => void socket.resetAndDestroy(),
  close: (socket: Socket) => void socket.destroy(),
} as const;

const runLater = (delayMs: number, run: () => void) => {
  if (delayMs === 0) run();
  else setTimeout(run, delayMs);
};

const WHOLE = /^200, .*true$/;

const describeAnswer = (answer: Answer) =>
  `${answer.status}, ${answer.body.length} bytes, whole: ${answer.isWhole}`;

/** Sends requests; returns what their clients got. */
const listAnswers = async (box: DeployedBox, route: string, bytes: number) => {
  const answers = await askEarly(box, { route, bytes, count: REQUESTS });
  expect(box.hasEnded()).toBe(false);
  return answers.map(describeAnswer);
};

/** Returns the answers that clients got as whole. */
const listWhole = async (box: DeployedBox, route: string, bytes: number) =>
  (await listAnswers(box, route, bytes)).filter((answer) => WHOLE.test(answer));

const PLAIN_BODY = "x".repeat(60_000);
const CUT_CASES = (["reset", "close"] as const).flatMap((way) => [
  { way, route: "once", lines: [], body: "x" },
  { way, route: "once", lines: [], body: PLAIN_BODY },
  { way, route: "again", lines: [], body: "x".repeat(1_000) },
  { way, route: "draft", lines: [EVENTS], body: writeEvents(1) },
  { way, route: "draft", lines: [EVENTS], body: writeEvents(50) },
  { way, route: "verdict", lines: [EVENTS], body: writeEvents(50) },
]);

/** What a box reads at once; of a longer answer it may lose what it has not read when the connection is reset. */
const SHORT_BODY = "x".repeat(1_000);

const writePlainBody = (socket: Socket, id: string) =>
  socket.write(formatUnframedHead(id) + PLAIN_BODY);

const WHOLE_CASES: readonly (readonly [string, string, AnswerEarly])[] = [
  [
    "with a length, and its connection is reset behind it",
    SHORT_BODY,
    (socket, id) => {
      const lines = [`Content-Length: ${SHORT_BODY.length}`];
      socket.write(formatUnframedHead(id, lines) + SHORT_BODY);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
  ],
  [
    "in chunks",
    PLAIN_BODY,
    (socket, id) => {
      const size = PLAIN_BODY.length.toString(16);
      const chunks = `${size}\r\n${PLAIN_BODY}\r\n0\r\n\r\n`;
      socket.write(formatUnframedHead(id, ["Transfer-Encoding: chunked"]) + chunks);
    },
  ],
  [
    "without a length, and the server ends its side in order and reads on",
    PLAIN_BODY,
    (socket, id) => {
      writePlainBody(socket, id);
      socket.resume().end();
    },
  ],
  [
    "without a length, and the server ends its side in order 5 ms later and reads on",
    PLAIN_BODY,
    (socket, id) => {
      writePlainBody(socket, id);
      socket.resume();
      setTimeout(() => socket.end(), 5);
    },
  ],
];

describe("a server answers a long request before it has read it", () => {
  beforeAll(buildBundle, BUSY_MACHINE_TIMEOUT_MS);

  it.each(CUT_CASES)(
    "a part of an answer without a length is not taken for all of it: $way, $route, $body.length bytes",
    async ({ way, route, lines, body }) => {
      let delayMs = 0;
      const box = await startBoxBeforeEarly((socket, id) => {
        socket.write(formatUnframedHead(id, lines) + body);
        runLater(delayMs, () => RESETS[way](socket));
      });
      for (delayMs of [0, 1, 5])
        expect(await listWhole(box, route, LONG_BYTES)).toEqual([]);
      // Earlier the server may have read all that has arrived, and its close would end the connection in order.
      expect(await listWhole(box, route, SHORT_BYTES)).toEqual([]);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each(["once", "draft"])(
    "a part of an answer without a length that another box carries is not taken for all of it: %s",
    async (route) => {
      const lines = route === "draft" ? [EVENTS] : [];
      const box = await startCutOffBoxBeforeEarly((socket, id) => {
        socket.write(formatUnframedHead(id, lines) + writeEvents(50));
        socket.resetAndDestroy();
      });
      expect(await listWhole(box, route, CARRIED_BYTES)).toEqual([]);
      const carried = box.listLines().filter((line) => /"event":"carried"/.test(line));
      expect(carried.length).toBeGreaterThanOrEqual(REQUESTS / 2);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it.each(WHOLE_CASES)(
    "a whole answer is delivered: %s",
    async (_, body, answer) => {
      const whole = `200, ${body.length} bytes, whole: true`;
      const all = Array.from({ length: REQUESTS }, () => whole);
      const box = await startBoxBeforeEarly(answer);
      expect(await listAnswers(box, "once", LONG_BYTES)).toEqual(all);
      expect(await listAnswers(box, "again", 5)).toEqual(all);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  // Whether the reset is seen depends on what the operating system has taken of the request when the answer ends.
  it(
    "an answer without a length that ended in order before its connection was reset is whole or broken",
    async () => {
      const box = await startBoxBeforeEarly((socket, id) => {
        writePlainBody(socket, id);
        socket.end(() => setTimeout(() => socket.resetAndDestroy(), 3));
      });
      const whole = `200, ${PLAIN_BODY.length} bytes, whole: true`;
      const answers = await listAnswers(box, "once", LONG_BYTES);
      expect(
        answers.filter((answer) => !/^502,/.test(answer) && answer !== whole),
      ).toEqual([]);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
