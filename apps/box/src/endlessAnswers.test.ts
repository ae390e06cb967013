/**
 * Guards against a box that reads without bound what no client gets: a server in trouble may write bytes that are no answer
 * until its connection is closed, before a head, in a head, in a body or in its framing.
 */
import { beforeEach, describe, expect, it } from "vitest";
import { createSeededRandom, type Random } from "@stairgauge/common";
import { HEADER } from "@stairgauge/platform";
import { startUsersSite, type UsersSite } from "@stairgauge/standins";
import {
  closers,
  LENIENT_KEY_REMOVAL,
  startSite,
  waitFor,
  waitMs,
  waitUntilRead,
  type BoxedSite,
} from "./box.testkit.js";
import { startFleet } from "./fleet.testkit.js";
import {
  askCounted,
  createRecordingDialer,
  dialClosedPort,
  formatHead,
  startWritingServer,
  writeSoundAnswer,
  type ChooseWriting,
  type CountedAnswer,
  type DialedConnection,
  type ServerWriting,
} from "./endlessAnswers.testkit.js";

const DEADLINE_MS = 3_000;
const CLOSED_WITHIN_MS = 500;
const MAX_READ_IN_VAIN = 1_000_000;

const PATHS = ["/once/", "/again/", "/draft/1", "/verdict/1"] as const;

type Writing = (request: string) => ServerWriting;

const LETTERS = "abcdefgh";
const LONG = "Content-Length: 99999999999";
const CHUNKED = "Transfer-Encoding: chunked";
const CHUNK = `400\r\n${"x".repeat(1024)}\r\n`;
const HINTS = "HTTP/1.1 103 Early Hints\r\n\r\n";

const formatIdLine = (id: string) => `${HEADER.requestId}: ${id}`;
const SIGNED = `${HEADER.signature}: s`;
const NOT_RUN = `${HEADER.notRun}: 1`;
const STREAM = "Content-Type: text/event-stream";

/** Bytes without the head of a final answer. */
const HEADLESS: readonly (readonly [string, Writing])[] = [
  ["blank lines before a status line", () => ({ begin: "", repeat: "\r\n" })],
  ["informational answers", () => ({ begin: "", repeat: HINTS })],
  ["letters", () => ({ begin: "", repeat: LETTERS })],
  ["a status line", () => ({ begin: "HTTP/1.1 200 ", repeat: LETTERS })],
  ["a header", () => ({ begin: "HTTP/1.1 200 OK\r\nA: ", repeat: LETTERS })],
  ["headers", () => ({ begin: "HTTP/1.1 200 OK\r\n", repeat: "A: b\r\n" })],
];

/** Answers whose head or absence of a head decides what follows. */
const DECIDED: readonly (readonly [string, Writing])[] = [
  ...HEADLESS,
  [
    "a failure without a length",
    (id) => ({
      begin: formatHead("500 Failed", [formatIdLine(id), SIGNED]),
      repeat: LETTERS,
    }),
  ],
  [
    "a failure with a length",
    (id) => ({
      begin: formatHead("500 Failed", [formatIdLine(id), LONG]),
      repeat: LETTERS,
    }),
  ],
  [
    "a failure in chunks",
    (id) => ({
      begin: formatHead("500 Failed", [formatIdLine(id), CHUNKED]),
      repeat: CHUNK,
    }),
  ],
  [
    "the size of a failure's chunk",
    (id) => ({
      begin: formatHead("500 Failed", [formatIdLine(id), CHUNKED]),
      repeat: "0",
    }),
  ],
  [
    "an overloaded server's refusal",
    (id) => ({ begin: formatHead("503 Busy", [formatIdLine(id)]), repeat: LETTERS }),
  ],
  [
    "a refusal that says that the request has not run",
    (id) => ({
      begin: formatHead("503 Full", [formatIdLine(id), NOT_RUN, LONG]),
      repeat: LETTERS,
    }),
  ],
  [
    "an answer without a signature",
    (id) => ({ begin: formatHead("200 OK", [formatIdLine(id)]), repeat: LETTERS }),
  ],
  [
    "an answer without an id or a signature",
    () => ({ begin: formatHead("200 OK", []), repeat: LETTERS }),
  ],
  [
    "the answer to another request",
    () => ({
      begin: formatHead("200 OK", [formatIdLine("other"), SIGNED, LONG]),
      repeat: LETTERS,
    }),
  ],
  [
    "an encoded answer",
    (id) => ({
      begin: formatHead("200 OK", [formatIdLine(id), SIGNED, "Content-Encoding: gzip"]),
      repeat: LETTERS,
    }),
  ],
  [
    "the size of an answer's chunk",
    (id) => ({
      begin: formatHead("200 OK", [formatIdLine(id), SIGNED, CHUNKED]),
      repeat: "0",
    }),
  ],
  [
    "an extension of a chunk",
    (id) => ({
      begin: `${formatHead("200 OK", [formatIdLine(id), SIGNED, CHUNKED])}4;a=`,
      repeat: LETTERS,
    }),
  ],
  [
    "trailers",
    (id) => ({
      begin: `${formatHead("200 OK", [formatIdLine(id), SIGNED, CHUNKED])}0\r\n`,
      repeat: "A: b\r\n",
    }),
  ],
  [
    "blank lines of a stream",
    (id) => ({
      begin: formatHead("200 OK", [formatIdLine(id), SIGNED, STREAM]),
      repeat: "\n",
    }),
  ],
  [
    "an event of a stream",
    (id) => ({
      begin: `${formatHead("200 OK", [formatIdLine(id), SIGNED, STREAM])}data: `,
      repeat: LETTERS,
    }),
  ],
];

/** Whether a stream's bytes reach the client of a plain request, to which they are a sound body. */
const isSoundToPlain = (name: string) => name.endsWith("of a stream");

const STATUSES = ["200 OK", "200 OK", "404 None", "429 Slow", "500 Failed", "503 Full"];

/** Answers that one test draws. */
const DRAWN = 60;

/** A server that answers so counts as replaced, and gets no further request. */
const REPLACED = "421 Other";

const generateWriting = (random: Random, statuses: readonly string[]): Writing => {
  const pick = <T>(all: readonly T[]): T => all[random.nextInt(0, all.length - 1)]!;
  const status = pick(statuses);
  const pickOptional = (line: string) => (random.nextFloat() < 0.5 ? [line] : []);
  const lines = [SIGNED, NOT_RUN, STREAM, "Content-Encoding: br", "Connection: close"];
  const framing = pick([[], [LONG], [CHUNKED]]);
  const chosen = [...lines.flatMap(pickOptional), ...framing];
  const isNamed = random.nextFloat() < 0.8;
  const before = pick(["", "", "\r\n".repeat(100), HINTS.repeat(100)]);
  const repeat = pick([
    LETTERS,
    "\r\n",
    "0",
    "\0",
    CHUNK,
    ": c\n\n",
    "data: a\n\n",
    HINTS,
  ]);
  const hasHead = random.nextFloat() < 0.85;
  return (id) => {
    const head = formatHead(status, [...(isNamed ? [formatIdLine(id)] : []), ...chosen]);
    return { begin: before + (hasHead ? head : ""), repeat };
  };
};

type Servers = Readonly<{ endless: number; sound: number }>;

/** Starts servers of both kinds; the first ones write what the writing of each request's id says, the others answer soundly. */
const startServers = async (
  site: UsersSite,
  { endless, sound }: Servers,
  findWriting: (id: string) => Writing | undefined,
) => {
  const reached = new Set<string>();
  /** Ports of the connections for reports and health checks, which may be kept. */
  const ownPorts = new Set<number>();
  const choose =
    (server: string, isEndless: boolean): ChooseWriting =>
    (call) => {
      const writeAnswer = isEndless ? findWriting(call.id) : undefined;
      if (call.method === "GET") ownPorts.add(call.port);
      if (!writeAnswer || call.method === "GET") return writeSoundAnswer(server, call);
      reached.add(call.id);
      return writeAnswer(call.id);
    };
  for (let at = 0; at < endless + sound; at += 1) {
    const engine = `engine-${at}`;
    const service = `plain-${at}`;
    const isEndless = at < endless;
    site.putEngine(engine, await startWritingServer(choose(engine, isEndless)));
    site.putService(service, await startWritingServer(choose(service, isEndless)));
  }
  const isOwn = ({ getPort }: DialedConnection) => ownPorts.has(getPort() ?? 0);
  return { reached, isOwn };
};

const BOX_CHANGES = { ...LENIENT_KEY_REMOVAL, retrySlack: 10_000 } as const;

/** Starts such servers behind one box. */
const startEndlessSite = async (
  servers: Servers,
  findWriting: (id: string) => Writing | undefined,
) => {
  const recorded = createRecordingDialer();
  const boxed = await startSite(0, 0, { ...BOX_CHANGES, dialServer: recorded.dial });
  const started = await startServers(boxed.site, servers, findWriting);
  await boxed.start();
  await waitUntilRead(boxed.lines, 2 * (servers.endless + servers.sound));
  return { ...boxed, ...recorded, ...started };
};

/** Stops the box and returns how many requests it still counts as open. */
const stopAndCount = async ({ box, lines }: Pick<BoxedSite, "box" | "lines">) => {
  await box.stop();
  return lines.find(({ event }) => event === "stopped")?.["open"];
};

/** Where requests are sent, and the connections to the servers that they cause. */
type EndlessSite = Pick<
  Awaited<ReturnType<typeof startEndlessSite>>,
  "ports" | "lines" | "connections" | "isOwn"
>;

/** Sends a request and returns its end, what its connections cost, and whether they are closed in time after it. */
const measureRequest = async (site: EndlessSite, path: string, id: string) => {
  const { connections, ports, lines, isOwn } = site;
  const from = connections.length;
  const listOpened = () =>
    connections.slice(from).filter((connection) => !isOwn(connection));
  const answer: CountedAnswer = await askCounted(ports, {
    path,
    id,
    deadlineMs: DEADLINE_MS,
  });
  await Promise.race([
    waitFor(() => listOpened().every(({ isOpen }) => !isOpen())),
    waitMs(CLOSED_WITHIN_MS),
  ]);
  const opened = listOpened();
  const read = opened.reduce((sum, { countRead }) => sum + countRead(), 0);
  const open = opened.filter(({ isOpen }) => isOpen()).length;
  const isAtDeadline = lines.some(
    ({ event, request }) => event === "out_of_time" && request === id,
  );
  const inVain = read - answer.bytes;
  return { ...answer, inVain, open, tries: opened.length, isAtDeadline };
};

describe("a server that writes without end", () => {
  let site: Awaited<ReturnType<typeof startEndlessSite>>;
  const writings = new Map<string, Writing>();
  beforeEach(async () => {
    writings.clear();
    site = await startEndlessSite({ endless: 1, sound: 0 }, (id) => writings.get(id));
  });

  it.each(DECIDED)(
    "costs a bounded number of bytes, and no wait: %s",
    async (name, writing) => {
      const paths = PATHS.filter((path) => !isSoundToPlain(name) || path.includes("1"));
      for (const path of paths) {
        writings.set(path, writing);
        const measured = await measureRequest(site, path, path);
        const { isAtDeadline, inVain, open, isWhole, status, tries } = measured;
        const isBounded = inVain <= MAX_READ_IN_VAIN * tries && open === 0;
        const isEnded = !isAtDeadline && (status === 0 || status >= 500 || !isWhole);
        expect({ path, isBounded, isEnded, measured }).toEqual({
          path,
          isBounded: true,
          isEnded: true,
          measured,
        });
        expect(site.reached).toContain(path);
      }
      expect(await stopAndCount(site)).toBe(0);
    },
  );
});

/** Guards against a box that reads for another one, or for itself, what no client gets. */
describe("what a server writes without end", () => {
  const CARRIED = DECIDED.filter(([name]) => !isSoundToPlain(name));

  /** Starts such a server behind a box that reaches it by way of another box alone. */
  const startCarriedSite = async (findWriting: (id: string) => Writing | undefined) => {
    const recorded = createRecordingDialer();
    const site = await startUsersSite({ engines: 0, services: 0 });
    closers.push(site.close);
    const started = await startServers(site, { endless: 1, sound: 0 }, findWriting);
    site.putConfiguration();
    const { fleet } = await startFleet({
      store: site.store.address,
      boxes: 2,
      servers: 2,
      changes: BOX_CHANGES,
      getChanges: (box) => ({ dialServer: box === 1 ? dialClosedPort : recorded.dial }),
    });
    const { ports, lines } = fleet[0]!;
    return { ports, lines, ...recorded, ...started };
  };

  it.each(CARRIED)(
    "costs a box that carries the request as little: %s",
    async (_, writing) => {
      const cut = await startCarriedSite(() => writing);
      for (const path of PATHS) {
        const measured = await measureRequest(cut, path, path);
        const { isAtDeadline, inVain, open, status, isWhole } = measured;
        const isEnded = !isAtDeadline && (status === 0 || status >= 500 || !isWhole);
        expect({ path, isEnded, open }).toEqual({ path, isEnded: true, open: 0 });
        expect(inVain).toBeLessThanOrEqual(MAX_READ_IN_VAIN);
        expect(cut.reached).toContain(path);
      }
    },
  );

  it("costs a box that carries the request a bounded number of bytes, whatever it is", async () => {
    const random = createSeededRandom(5);
    const writings = new Map<string, Writing>();
    const cut = await startCarriedSite((id) => writings.get(id));
    const failures: unknown[] = [];
    for (let at = 0; at < DRAWN; at += 1) {
      const id = `drawn-${at}`;
      writings.set(id, generateWriting(random, STATUSES));
      const path = PATHS[at % PATHS.length]!;
      const measured = await measureRequest(cut, path, id);
      const { took, inVain, open, tries } = measured;
      const isLate = took > DEADLINE_MS + CLOSED_WITHIN_MS;
      if (isLate || open > 0 || inVain > MAX_READ_IN_VAIN * Math.max(1, tries))
        failures.push({ id, path, ...measured });
    }
    expect(failures).toEqual([]);
    expect(cut.reached.size).toBeGreaterThan(30);
  });

  it.each(HEADLESS)("ends a health check as failed: %s", async (_, writing) => {
    const recorded = createRecordingDialer();
    const boxed = await startSite(0, 0, { ...BOX_CHANGES, dialServer: recorded.dial });
    const address = await startWritingServer(({ method, id }) =>
      method === "GET"
        ? writing(id)
        : {
            begin: `${formatHead("200 OK", [formatIdLine(id), SIGNED])}ok`,
            isClosed: true,
          },
    );
    boxed.site.putService("plain", address);
    await boxed.start();
    await waitUntilRead(boxed.lines, 1);
    const site = { ...boxed, ...recorded, isOwn: () => false };
    const measured = await measureRequest(site, "/once/", "unproven");
    expect(measured).toMatchObject({ status: 502, isWhole: true, open: 0 });
    expect(measured.tries).toBeGreaterThan(1);
    expect(measured.inVain).toBeLessThanOrEqual(MAX_READ_IN_VAIN);
  });
});

describe("servers that write without end, beside sound ones", () => {
  it.each([1, 2, 3, 4])(
    "%i of 4: whatever they write costs a bounded number of bytes",
    async (endless) => {
      const random = createSeededRandom(endless);
      const writings = new Map<string, Writing>();
      const site = await startEndlessSite({ endless, sound: 4 - endless }, (id) =>
        writings.get(id),
      );
      const failures: unknown[] = [];
      for (let at = 0; at < DRAWN; at += 1) {
        const id = `drawn-${at}`;
        const isLast = at >= DRAWN - endless;
        writings.set(id, generateWriting(random, isLast ? [REPLACED] : STATUSES));
        const path = PATHS[at % PATHS.length]!;
        const measured = await measureRequest(site, path, id);
        const { took, inVain, open, tries } = measured;
        const isLate = took > DEADLINE_MS + CLOSED_WITHIN_MS;
        if (isLate || open > 0 || inVain > MAX_READ_IN_VAIN * tries)
          failures.push({ id, path, ...measured });
      }
      expect(failures).toEqual([]);
      // Servers that are known for it get few requests while others are there.
      if (endless === 4) expect(site.reached.size).toBeGreaterThan(DRAWN / 2);
      if (endless < 4) {
        const sound = await askCounted(site.ports, {
          path: "/again/",
          id: "sound",
          deadlineMs: DEADLINE_MS,
        });
        expect(sound).toMatchObject({ status: 200, isWhole: true });
      }
      expect(await stopAndCount(site)).toBe(0);
    },
  );
});

/** Guards against a request that waits for a body which it doesn't need, while its server writes that slowly. */
describe("a failure whose body comes slowly", () => {
  const writeSlowly =
    (status: string, lines: readonly string[]): Writing =>
    (id) => ({
      begin: formatHead(status, [formatIdLine(id), ...lines]),
      repeat: "x",
      pauseMs: 50,
    });
  const WRITINGS = {
    failure: writeSlowly("500 Failed", [SIGNED]),
    refusal: writeSlowly("503 Full", [NOT_RUN]),
    unsigned: writeSlowly("200 OK", []),
  } as const;
  const sendUntilReached = async (
    kind: keyof typeof WRITINGS,
    { path, sound }: Readonly<{ path: string; sound: number }>,
  ) => {
    const site = await startEndlessSite({ endless: 1, sound }, () => WRITINGS[kind]);
    const answers: Awaited<ReturnType<typeof measureRequest>>[] = [];
    for (let at = 0; site.reached.size === 0 && at < 40; at += 1)
      answers.push(await measureRequest(site, path, `slow-${at}`));
    expect(site.reached.size).toBe(1);
    return {
      statuses: [...new Set(answers.map(({ status }) => status))],
      isSoon: answers.every(({ isAtDeadline }) => !isAtDeadline),
    };
  };

  it.each(["failure", "refusal", "unsigned"] as const)(
    "is not awaited while another server is there: %s",
    async (kind) => {
      const answers = await sendUntilReached(kind, { path: "/again/", sound: 3 });
      expect(answers).toEqual({ statuses: [200], isSoon: true });
    },
  );

  it.each([
    ["failure", "/once/", 502],
    ["failure", "/again/", 502],
    ["refusal", "/once/", 503],
    ["unsigned", "/once/", 502],
  ] as const)(
    "is not awaited until the deadline without another server: %s, at %s",
    async (kind, path, status) => {
      const answers = await sendUntilReached(kind, { path, sound: 0 });
      expect(answers).toEqual({ statuses: [status], isSoon: true });
    },
  );
});
