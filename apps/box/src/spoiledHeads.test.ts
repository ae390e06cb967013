/**
 * Guards against a request without an end: whatever a server writes as the head of its answer, the client gets an answer or a
 * closed connection by the deadline, and nothing of the request is left at the box. Guards also against an answer that reaches
 * its client although its head is none of HTTP.
 */
import { describe, expect, it } from "vitest";
import { createSeededRandom } from "@stairgauge/common";
import { startUsersSite } from "@stairgauge/standins";
import { ask, closers, makeGeneration, waitMs, type Line } from "./box.testkit.js";
import { startWritingServer, writeSoundAnswer } from "./endlessAnswers.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";
import { startPathSwitch } from "./pathSwitch.testkit.js";

/** How long each client waits, and how late an answer may be after it. Streams have a longer limit of their route. */
const DEADLINE_MS = 2_000;
const LATE_MS = 500;

const HEAD_END = "\r\n\r\n";
const STREAM_EVENTS = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/** Writes the head of a server's answer to a request. */
type WriteHead = (lines: readonly string[]) => string;

const formatAnswer = (
  request: string,
  isStream: boolean,
  writeHead: WriteHead,
): string => {
  const body = isStream ? STREAM_EVENTS : "ok";
  return `${writeHead([
    "HTTP/1.1 200 OK",
    `Request-Id: ${request}`,
    "Response-Signature: s",
    `Content-Type: ${isStream ? "text/event-stream" : "text/plain"}`,
    `Content-Length: ${body.length}`,
  ])}${HEAD_END}${body}`;
};

/** Starts a server that answers generations and plain requests with a head of the test's choice. */
const startSpoilingServer = (id: string, writeHead: WriteHead): Promise<string> =>
  startWritingServer((call) =>
    call.method === "GET"
      ? writeSoundAnswer(id, call)
      : { begin: formatAnswer(call.id, /^\/(draft|verdict)/.test(call.path), writeHead) },
  );

/** Where the heads are read: from one server, from a second one after the first, or by way of another box. */
type Way = "own" | "second" | "carried";

/** Starts a site with `count` servers of each kind that spoil their heads; returns their addresses. */
const startSpoilingSite = async (count: number, writeHead: WriteHead) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const addresses: string[] = [];
  for (let i = 0; i < count; i += 1) {
    const plain = await startSpoilingServer(`plain-${i}`, writeHead);
    const engine = await startSpoilingServer(`engine-${i}`, writeHead);
    site.putService(`plain-${i}`, plain);
    site.putEngine(`engine-${i}`, engine);
    addresses.push(plain, engine);
  }
  site.putConfiguration();
  return { site, addresses };
};

/** Starts a box whose requests take this way; the others, if there are any, only carry. */
const startOnWay = async (way: Way, writeHead: WriteHead): Promise<FleetBox> => {
  const { site, addresses } = await startSpoilingSite(
    way === "second" ? 2 : 1,
    writeHead,
  );
  const pathSwitch = await startPathSwitch(addresses);
  const { fleet, start } = await startFleet({
    store: site.store.address,
    boxes: way === "carried" ? 2 : 0,
    servers: addresses.length,
    changes: { stopSeconds: 4, hasProductionTimes: true },
    getChanges: (box) => (box === 1 ? { dialServer: pathSwitch.dial } : {}),
  });
  if (way !== "carried") return start();
  pathSwitch.cut("refuse_new");
  return fleet[0]!;
};

/** Sends requests of all kinds one after the other; returns those that did not end in time, and what the box wrote of them. */
const listUnended = async (count: number, writeHead: WriteHead, way: Way = "own") => {
  const { box, ports, lines } = await startOnWay(way, writeHead);
  const unended: string[] = [];
  const send = async (at: number) => {
    const path = ["/once/", "/again/", "/draft/", "/verdict/"][at % 4]!;
    const isStream = at % 4 >= 2;
    const headers = isStream ? makeGeneration(10, 4) : {};
    const late = waitMs(DEADLINE_MS + LATE_MS).then(() => "late");
    const ended = ask(ports, { path, id: `odd-${at}`, headers, deadlineMs: DEADLINE_MS });
    if ((await Promise.race([ended, late])) === "late") unended.push(`${path} ${at}`);
  };
  for (let at = 0; at < count; at += 16)
    await Promise.all(Array.from({ length: 16 }, (_, i) => send(at + i)));
  await box.stop();
  const stopped = lines.find(({ event }) => event === "stopped");
  const errors = lines.filter(({ event }) => event === "unexpected_error");
  return { ends: { unended, open: stopped?.["open"], errors }, lines };
};

/** Counts the requests that the box placed more than once. */
const countPlacedAgain = (lines: readonly Line[]) => {
  const placed = lines.filter(({ event }) => event === "placed");
  return placed.length - new Set(placed.map(({ request }) => request)).size;
};

const countEvents = (event: string) => (lines: readonly Line[]) =>
  lines.filter((line) => line.event === event).length;

const NOTHING_LEFT = { unended: [], open: 0, errors: [] };

const replaceLine =
  (index: number, line: string): WriteHead =>
  (lines) =>
    lines.map((one, at) => (at === index ? line : one)).join("\r\n");

describe("requests whose servers write odd heads", () => {
  it.each([
    ["a control character in the reason phrase", replaceLine(0, "HTTP/1.1 200 O\x01")],
    ["a status below 100", replaceLine(0, "HTTP/1.1 099 OK")],
    ["a status of four digits", replaceLine(0, "HTTP/1.1 2000 OK")],
    ["a status that is informational", replaceLine(0, "HTTP/1.1 150 OK")],
    ["a header without a name", replaceLine(3, ": text/plain")],
    ["a control character in a header", replaceLine(3, "Content-Type: a\x02b")],
    ["a header of high bytes", replaceLine(3, "Content-Type: \xff\xfe\x80")],
  ])("end in time: %s", async (_, writeHead) => {
    expect((await listUnended(16, writeHead)).ends).toEqual(NOTHING_LEFT);
  });

  it.each([
    { way: "own", count: 400, countOnWay: countEvents("placed") },
    { way: "second", count: 160, countOnWay: countPlacedAgain },
    { way: "carried", count: 160, countOnWay: countEvents("carried") },
  ] as const)(
    "end in time, whichever byte of a head was changed: $way",
    async ({ way, count, countOnWay }) => {
      const random = createSeededRandom(1);
      const changeByte: WriteHead = (lines) => {
        const head = lines.join("\r\n");
        const at = random.nextInt(0, head.length - 1);
        const byte = String.fromCharCode(random.nextInt(0, 255));
        return head.slice(0, at) + byte + head.slice(at + 1);
      };
      const { ends, lines } = await listUnended(count, changeByte, way);
      expect(ends).toEqual(NOTHING_LEFT);
      expect(countOnWay(lines)).toBeGreaterThan(10);
    },
  );
});

const STATUSES = [
  ..."000 001 042 099 20 2 0200 -200 +200 2OO 200.5 1000 2000 0x200 600 700 999".split(
    " ",
  ),
  "2 00",
  "\t200",
];

const NAME_LINES = [
  " X-Any: a",
  "\tX-Any: a",
  "X Any: a",
  "X\tAny: a",
  "X-Any : a",
  "X-Any\t: a",
  "X\x01Any: a",
  "\x02X-Any: a",
  "X-Any\x1f: a",
  "X\x00Any: a",
  "X-Any\x7f: a",
  "X-Any\x80: a",
  ": a",
  "no colon",
  "Content-Length : 1",
  "Content-Length\x0b: 1",
  "Transfer-Encoding\x01: chunked",
];

const insertLine =
  (index: number, line: string): WriteHead =>
  (lines) =>
    [...lines.slice(0, index), line, ...lines.slice(index)].join("\r\n");

const MALFORMED_HEADS: readonly WriteHead[] = [
  ...STATUSES.map((status) => replaceLine(0, `HTTP/1.1 ${status} OK`)),
  // Before the request's id and behind the signature.
  ...NAME_LINES.flatMap((line) => [insertLine(1, line), insertLine(3, line)]),
  ...NAME_LINES.map((line) => insertLine(3, line)).map(
    (write): WriteHead =>
      (lines) =>
        write(["HTTP/1.1 500 Internal Server Error", ...lines.slice(1)]),
  ),
];

/** Sends a request of each kind for each malformed head; returns what reached clients, and the heads that were written. */
const listReceived = async (way: Way) => {
  const written = new Set<number>();
  const { ports } = await startOnWay(way, (lines) => {
    const at = Number(/odd-(\d+)/.exec(lines[1]!)![1]);
    written.add(at);
    return MALFORMED_HEADS[at]!(lines);
  });
  const received: string[] = [];
  const send = async (at: number, path: string) => {
    const headers = /^\/(draft|verdict)/.test(path) ? makeGeneration(10, 4) : {};
    const id = `odd-${at}`;
    const answer = await ask(ports, { path, id, headers, deadlineMs: DEADLINE_MS });
    const isOwn = [0, 502, 503, 504].includes(answer.status);
    if (isOwn && answer.headers["response-signature"] === undefined) return;
    received.push(
      `${path}: ${answer.status} ${answer.body}, head ${JSON.stringify(MALFORMED_HEADS[at]!(["HTTP/1.1 200 OK", "a", "b"]))}`,
    );
  };
  for (let at = 0; at < MALFORMED_HEADS.length; at += 1)
    await Promise.all(
      ["/once/", "/again/", "/draft/", "/verdict/"].map((path) => send(at, path)),
    );
  return { received, written: written.size };
};

describe("answers whose heads are none of HTTP reach no client", () => {
  it.each(["own", "carried"] as const)("%s way", async (way) => {
    expect(await listReceived(way)).toEqual({
      received: [],
      written: MALFORMED_HEADS.length,
    });
  });
});
