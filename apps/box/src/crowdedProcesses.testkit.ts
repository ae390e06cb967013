/**
 * Test helpers: boxes as processes that are held to a share of one processor, in front of plain and streaming servers,
 * while most new connections go to a few of the boxes.
 */
import { createServer, request as openRequest, type Server } from "node:http";
import { createSeededRandom } from "@stairgauge/common";
import { HEADER, SERVER_PATH } from "@stairgauge/platform";
import {
  IDLE_REPORT,
  listenOnLoopback,
  SITE_HOST,
  SITE_KEY,
  startUsersSite,
} from "@stairgauge/standins";
import { createShareKeeper } from "@stairgauge/testkit";
import { closers, waitMs } from "./box.testkit.js";
import { startBoxProcess, type BoxProcess } from "./boxProcess.testkit.js";

/** Plain servers work on this many requests at once, each for this long. */
const PLAIN_SLOTS = 6;
const PLAIN_MS = 20;
const PLAIN_SERVERS = 4;
const STREAM_SERVERS = 8;

/** Each stream has this many events at even gaps, unless a test asks for others. */
const STREAM_EVENTS = 90;
const STREAM_MS = 3_000;
const TOKENS_PER_EVENT = 4;

const PLAIN_DEADLINE_MS = 600;
const STREAM_DEADLINE_MS = 30_000;
/** Clients leave a stream that brings no event for this long. */
const STREAM_SILENCE_MS = 7_200;

/** A new connection gets this long to come up. */
const CONNECT_LIMIT_MS = 1_000;

/** Share of the new connections that go to crowded boxes. */
const CROWDED_SHARE = 0.95;

const HEALTH_PATH = "/healthz";
const MS_PER_S = 1_000;

/** What became of one attempt of a client. */
export type AttemptEnd =
  | "served"
  | "refused"
  /** The connection was refused, or closed without a byte of an answer. */
  | "unread"
  /** The answer or stream broke off. */
  | "broken"
  /** No whole answer by the deadline. */
  | "silent";

/** One request of a client: its first attempt and, if that one was not read, a second one at another box. */
export type CrowdRequest = Readonly<{
  kind: "once" | "again" | "draft";
  sentAt: number;
  ends: readonly AttemptEnd[];
  doneAt: number;
}>;

/** How many boxes there are, what they have, and what is sent to them. */
export type CrowdOptions = Readonly<{
  boxes: number;
  /** Boxes that are crowded at the same time. */
  crowded: number;
  /** Processor share of each box, from 0 to 1. */
  share: number;
  perSecond: number;
  /** Events of each stream. */
  streamEvents?: number;
}>;

const startListening = async (server: Server): Promise<string> => {
  const { address, close } = await listenOnLoopback(server);
  closers.push(close);
  return address;
};

const startPlainServer = (id: string) => {
  const waiting: (() => void)[] = [];
  let running = 0;
  const runNext = () => {
    if (running >= PLAIN_SLOTS) return;
    const serve = waiting.shift();
    if (!serve) return;
    running += 1;
    serve();
  };
  return startListening(
    createServer((incoming, response) => {
      incoming.resume();
      const request = String(incoming.headers[HEADER.requestId.toLowerCase()]);
      if (incoming.url === HEALTH_PATH) {
        response.writeHead(200, { [HEADER.instance]: id, "Content-Length": "0" });
        response.end();
        return;
      }
      waiting.push(() => {
        setTimeout(() => {
          running -= 1;
          response.writeHead(200, {
            [HEADER.requestId]: request,
            [HEADER.signature]: "s",
            "Content-Length": "2",
          });
          response.end("ok");
          runNext();
        }, PLAIN_MS);
      });
      runNext();
    }),
  );
};

const startStreamServer = (id: string, events: number) =>
  startListening(
    createServer((incoming, response) => {
      incoming.resume();
      if (incoming.method === "GET") {
        const body =
          incoming.url === SERVER_PATH.report ? JSON.stringify(IDLE_REPORT) : "{}";
        response.writeHead(200, {
          [HEADER.instance]: id,
          "Content-Type": "application/json",
        });
        response.end(body);
        return;
      }
      const request = String(incoming.headers[HEADER.requestId.toLowerCase()]);
      response.writeHead(200, {
        "Content-Type": "text/event-stream",
        [HEADER.requestId]: request,
        [HEADER.signature]: "s",
      });
      let event = 0;
      const timer = setInterval(() => {
        response.write(`id: ${event}\ndata: ${request} token group ${event}\n\n`);
        event += 1;
        if (event < events) return;
        clearInterval(timer);
        response.end();
      }, STREAM_MS / events);
      response.on("close", () => clearInterval(timer));
    }),
  );

/** Sends one attempt on a new connection and waits for its end. */
const sendAttempt = (
  port: number,
  kind: CrowdRequest["kind"],
  id: string,
  deadlineMs: number,
  silenceMs = STREAM_SILENCE_MS,
): Promise<AttemptEnd> =>
  new Promise((resolve) => {
    let hasAnswer = false;
    let silence: NodeJS.Timeout | undefined;
    const outgoing = openRequest({
      host: "127.0.0.1",
      port,
      method: "POST",
      path: `/${kind}/${id}`,
      agent: false,
      headers: {
        [HEADER.host]: SITE_HOST,
        [HEADER.authorization]: `Token ${SITE_KEY}`,
        [HEADER.requestId]: id,
        [HEADER.deadline]: String(Math.floor(deadlineMs)),
        ...(kind === "draft" && {
          [HEADER.model]: "m",
          [HEADER.tokens]: `300,${STREAM_EVENTS * TOKENS_PER_EVENT}`,
        }),
        "Content-Length": "2",
      },
    });
    const finish = (end: AttemptEnd) => {
      clearTimeout(deadline);
      clearTimeout(silence);
      outgoing.destroy();
      resolve(end);
    };
    const deadline = setTimeout(() => finish("silent"), deadlineMs);
    const watchSilence = () => {
      if (kind !== "draft") return;
      clearTimeout(silence);
      silence = setTimeout(() => finish("silent"), silenceMs);
    };
    watchSilence();
    outgoing.on("socket", (socket) => {
      const connecting = setTimeout(() => {
        // A client whose own event loop was late handles what has come up meanwhile first.
        setImmediate(() => {
          if (socket.connecting) finish("unread");
        });
      }, CONNECT_LIMIT_MS);
      socket.on("connect", () => clearTimeout(connecting));
      socket.on("close", () => clearTimeout(connecting));
    });
    outgoing.on("error", () => finish(hasAnswer ? "broken" : "unread"));
    outgoing.on("response", (answer) => {
      hasAnswer = true;
      answer.on("data", watchSilence);
      answer.on("end", () => {
        if (answer.statusCode !== 200) finish("refused");
        else finish(answer.complete ? "served" : "broken");
      });
      answer.on("error", () => finish("broken"));
    });
    outgoing.end("ok");
  });

/** A time in which most new connections go to the crowded boxes from number `firstCrowded` on, or to none in particular. */
export type CrowdPhase = Readonly<{ durationMs: number; firstCrowded?: number }>;

export type Crowd = Readonly<{
  boxes: readonly BoxProcess[];
  /** Sends requests through the phases without a pause; resolves with the requests that began in each. */
  run: (phases: readonly CrowdPhase[]) => Promise<readonly (readonly CrowdRequest[])[]>;
  /** Opens `count` connections to one box at once, each with one attempt that isn't repeated and lasts until its deadline. */
  sendBurst: (
    box: number,
    count: number,
    kind: CrowdRequest["kind"],
    deadlineMs: number,
  ) => Promise<readonly AttemptEnd[]>;
}>;

/** Starts the servers and the boxes, and holds the boxes to their shares. */
export const startCrowd = async (options: CrowdOptions): Promise<Crowd> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const keeper = createShareKeeper();
  closers.push(keeper.release);
  for (let i = 0; i < PLAIN_SERVERS; i += 1)
    site.putService(`plain-${i}`, await startPlainServer(`plain-${i}`));
  for (let i = 0; i < STREAM_SERVERS; i += 1)
    site.putEngine(
      `engine-${i}`,
      await startStreamServer(`engine-${i}`, options.streamEvents ?? STREAM_EVENTS),
    );
  site.limitConnections(2_000);
  const boxes = await Promise.all(
    Array.from({ length: options.boxes }, (_, i) =>
      startBoxProcess({
        name: `box-${i}`,
        store: site.store.address,
        heapMb: 96,
        descriptors: 16_384,
      }),
    ),
  );
  await waitMs(3_000);
  for (const { pid } of boxes) keeper.hold(pid, options.share);
  const random = createSeededRandom(1);
  let sequence = 0;

  const pickBox = (first: number | undefined): number => {
    const isCrowd = first !== undefined && random.nextFloat() < CROWDED_SHARE;
    return isCrowd
      ? (first + random.nextInt(0, options.crowded - 1)) % boxes.length
      : random.nextInt(0, boxes.length - 1);
  };
  const pickOther = (box: number): number =>
    (box + random.nextInt(1, boxes.length - 1)) % boxes.length;
  const pickKind = (): CrowdRequest["kind"] => {
    const point = random.nextFloat();
    if (point < 0.5) return "once";
    return point < 0.7 ? "again" : "draft";
  };
  const sendRequest = async (first: number | undefined): Promise<CrowdRequest> => {
    const kind = pickKind();
    const sentAt = performance.now();
    const endsAt = sentAt + (kind === "draft" ? STREAM_DEADLINE_MS : PLAIN_DEADLINE_MS);
    const box = pickBox(first);
    const send = (to: number) => {
      sequence += 1;
      const left = endsAt - performance.now();
      return sendAttempt(boxes[to]!.port, kind, `crowd-${sequence}`, left);
    };
    const ends = [await send(box)];
    if (ends[0] === "unread" && performance.now() < endsAt)
      ends.push(await send(pickOther(box)));
    return { kind, sentAt, ends, doneAt: performance.now() };
  };
  const sendPhase = async (phase: CrowdPhase): Promise<Promise<CrowdRequest>[]> => {
    const sent: Promise<CrowdRequest>[] = [];
    let dueAt = performance.now();
    const endsAt = dueAt + phase.durationMs;
    while (dueAt < endsAt) {
      dueAt += (-Math.log(1 - random.nextFloat()) * MS_PER_S) / options.perSecond;
      const wait = dueAt - performance.now();
      if (wait > 0) await waitMs(wait);
      sent.push(sendRequest(phase.firstCrowded));
    }
    return sent;
  };
  const run: Crowd["run"] = async (phases) => {
    const sent: Promise<CrowdRequest>[][] = [];
    for (const phase of phases) sent.push(await sendPhase(phase));
    return Promise.all(sent.map((ofPhase) => Promise.all(ofPhase)));
  };
  const sendBurst: Crowd["sendBurst"] = (box, count, kind, deadlineMs) =>
    Promise.all(
      Array.from({ length: count }, () => {
        sequence += 1;
        const id = `burst-${sequence}`;
        return sendAttempt(boxes[box]!.port, kind, id, deadlineMs, deadlineMs);
      }),
    );
  return { boxes, run, sendBurst };
};
