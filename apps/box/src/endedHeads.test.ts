/**
 * Guards against an answer that ends with its head and counts as whole: a server that closes there has sent nothing of a
 * stream, and the client would take a stream without events, or a part of one, for all of it.
 */
import { createServer, type Socket } from "node:net";
import { describe, expect, it } from "vitest";
import {
  formatEngineEvent,
  listenOnLoopback,
  startUsersSite,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  waitFor,
  waitMs,
  type Ask,
} from "./box.testkit.js";
import { writeSoundAnswer } from "./endlessAnswers.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";
import { startPathSwitch } from "./pathSwitch.testkit.js";

const EVENT_COUNT = 4;
const DEADLINE_MS = 1_500;
const HEAD_END = "\r\n\r\n";

type Close = "end" | "reset";
/** A request at a server: its path, its id, how many sends of it came before, and the server's name. */
type Call = Readonly<{ path: string; id: string; sends: number; server: string }>;
/** Answers a request in the connection that it came by. */
type Answer = (socket: Socket, call: Call) => void;

const formatEvents = (id: string, from: number, to: number) =>
  Array.from({ length: to - from }, (_, at) => formatEngineEvent(id, from + at)).join("");
const isStreamPath = (path: string) => /^\/(draft|verdict)/.test(path);
const closeSocket = (socket: Socket, close: Close) =>
  close === "end" ? socket.end() : socket.resetAndDestroy();
const writeAndClose = (socket: Socket, text: string, close: Close) =>
  text === ""
    ? closeSocket(socket, close)
    : socket.write(text, () => closeSocket(socket, close));
const answerSoundly: Answer = (socket, { path, id }) =>
  void socket.write(writeSoundAnswer("", { method: "POST", path, id, port: 0 }).begin);

const startAnsweringServer = async (
  name: string,
  answer: Answer,
  sends: Map<string, number>,
) => {
  const answerCall = (socket: Socket, head: string) => {
    const [method = "", path = ""] = head.split(" ");
    const id = /^request-id: (.*)$/im.exec(head)?.[1]?.trim() ?? "";
    if (method === "GET") {
      socket.write(writeSoundAnswer(name, { method, path, id, port: 0 }).begin);
      return;
    }
    const call = { path, id, sends: sends.get(id) ?? 0, server: name };
    sends.set(id, call.sends + 1);
    answer(socket, call);
  };
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    let received = "";
    socket.on("error", () => undefined);
    socket.on("end", () => socket.end());
    socket.on("data", (bytes: Buffer) => {
      received += bytes.toString("latin1");
      const [head = "", body] = received.split(HEAD_END);
      const length = Number(/^content-length: (.*)$/im.exec(head)?.[1] ?? 0);
      if (body === undefined || body.length < length) return;
      received = "";
      answerCall(socket, head);
    });
  });
  const listener = await listenOnLoopback(server);
  closers.push(listener.close);
  return { address: listener.address, close: () => server.close() };
};

type Way = "own" | "carried" | "two boxes";

/** Starts two servers of each kind, and the boxes of this way; `sends` counts the sends of each request. */
const startOnWay = async (answer: Answer, way: Way = "own") => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const sends = new Map<string, number>();
  const addresses: string[] = [];
  const closeEngines: (() => unknown)[] = [];
  for (const at of [0, 1]) {
    const plain = await startAnsweringServer(`plain-${at}`, answer, sends);
    const engine = await startAnsweringServer(`engine-${at}`, answer, sends);
    site.putService(`plain-${at}`, plain.address);
    site.putEngine(`engine-${at}`, engine.address);
    addresses.push(plain.address, engine.address);
    closeEngines.push(engine.close);
  }
  site.putConfiguration();
  const paths = await startPathSwitch(addresses);
  const { fleet, start } = await startFleet({
    store: site.store.address,
    boxes: way === "own" ? 0 : 2,
    servers: addresses.length,
    changes: { hasProductionTimes: way === "carried", retrySlack: 1_000_000 },
    getChanges: (box) =>
      way === "carried" && box === 1 ? { dialServer: paths.dial } : {},
  });
  if (way === "carried") paths.cut("refuse_new");
  const announceLeaving = (engine: string) =>
    site.putEngine(engine, addresses[Number(engine.at(-1)) * 2 + 1]!, "leaving");
  const stopListening = (engine: string) => closeEngines[Number(engine.at(-1))]!();
  return {
    fleet: way === "own" ? [await start()] : fleet,
    sends,
    announceLeaving,
    stopListening,
  };
};

const askOf = (
  { ports }: FleetBox,
  path: string,
  id: string,
  changes: Partial<Ask> = {},
) =>
  ask(ports, {
    path,
    id,
    deadlineMs: DEADLINE_MS,
    ...changes,
    headers: {
      ...(isStreamPath(path) ? makeGeneration(10, EVENT_COUNT) : {}),
      ...changes.headers,
    },
  });

const listCommon = (id: string, type: string) => [
  `Request-Id: ${id}`,
  "Response-Signature: s",
  `Content-Type: ${type}`,
];
/** The heads of answers, by their form. */
const FORMS: Readonly<Record<string, (id: string) => string>> = {
  length: (id) =>
    [
      "HTTP/1.1 200 OK",
      ...listCommon(id, "text/plain"),
      "Content-Length: 9",
      "",
      "",
    ].join("\r\n"),
  chunked: (id) =>
    [
      "HTTP/1.1 200 OK",
      ...listCommon(id, "text/event-stream"),
      "Transfer-Encoding: chunked",
      "",
      "",
    ].join("\r\n"),
  none: (id) => ["HTTP/1.1 200 OK", ...listCommon(id, "text/plain"), "", ""].join("\r\n"),
  "HTTP/1.0": (id) =>
    ["HTTP/1.0 200 OK", ...listCommon(id, "text/plain"), "", ""].join("\r\n"),
  "bare line feeds": (id) =>
    ["HTTP/1.1 200 OK", ...listCommon(id, "text/plain"), "", ""].join("\n"),
  "event stream": (id) =>
    ["HTTP/1.1 200 OK", ...listCommon(id, "text/event-stream"), "", ""].join("\r\n"),
  "Connection: close": (id) =>
    [
      "HTTP/1.1 200 OK",
      ...listCommon(id, "text/event-stream"),
      "Connection: close",
      "",
      "",
    ].join("\r\n"),
};
const PATHS = ["/once/", "/again/", "/draft/", "/verdict/"] as const;
const FORM_NAMES = Object.keys(FORMS);

/** One answer that ends within its head or behind it, after heads of informational answers if there are any. */
type Cut = Readonly<{
  path: string;
  form: string;
  at: number;
  close: Close;
  before: string;
}>;

const makeHead = (id: string, form: string) => FORMS[form]!(id);
/** Cuts at every `step`th byte of each head, and behind it. */
const listCuts = (step: number, paths: readonly string[], before = ""): readonly Cut[] =>
  paths.flatMap((path) =>
    FORM_NAMES.flatMap((form) =>
      (["end", "reset"] as const).flatMap((close) => {
        const { length } = makeHead("c0000", form);
        const ats = Array.from(
          { length: Math.ceil(length / step) },
          (_, at) => at * step,
        );
        return [...ats, length].map((at) => ({ path, form, at, close, before }));
      }),
    ),
  );

const formatId = (at: number) => `c${String(at).padStart(4, "0")}`;

/** A plain answer without a length may have no body: its server has closed it and still answers. */
const mayBeWhole = ({ path, form, at, close }: Cut) =>
  !isStreamPath(path) &&
  close === "end" &&
  at === makeHead("c0000", form).length &&
  !["length", "chunked"].includes(form);

/** Sends a request for each cut; returns the cuts whose answers look whole, and the number of requests that were sent. */
const listTakenAsWhole = async (cuts: readonly Cut[], way: Way) => {
  const { fleet, sends } = await startOnWay((socket, { id }) => {
    const { form, at, close, before } = cuts[Number(id.slice(1))]!;
    writeAndClose(socket, before + makeHead(id, form).slice(0, at), close);
  }, way);
  const wrong: Cut[] = [];
  const unanswered: Cut[] = [];
  const BATCH = 16;
  const askAt = async (cut: Cut, at: number) => {
    const box = fleet[way === "two boxes" ? at % 2 : 0]!;
    const { status, isWhole } = await askOf(box, cut.path, formatId(at));
    if (status === 0) unanswered.push(cut);
    if (status === 200 && isWhole && !mayBeWhole(cut)) wrong.push(cut);
  };
  for (let from = 0; from < cuts.length; from += BATCH)
    await Promise.all(
      cuts.slice(from, from + BATCH).map((cut, at) => askAt(cut, from + at)),
    );
  const carried = fleet[0]!.lines.filter(({ event }) => event === "carried").length;
  return { ends: { wrong, unanswered }, sent: sends.size, carried };
};

const NONE = { wrong: [], unanswered: [] };

describe("an answer that ends within its head or with it is no whole one", () => {
  it.each(PATHS)(
    "at any byte, by an end or a reset: %s",
    async (path) => {
      const cuts = listCuts(2, [path]);
      const { ends, sent } = await listTakenAsWhole(cuts, "own");
      expect(ends).toEqual(NONE);
      expect(sent).toBeGreaterThan(cuts.length / 2);
    },
    120_000,
  );

  it.each(["carried", "two boxes"] as const)(
    "%s",
    async (way) => {
      const cuts = listCuts(24, PATHS);
      const { ends, sent, carried } = await listTakenAsWhole(cuts, way);
      expect(ends).toEqual(NONE);
      expect(sent).toBeGreaterThan(cuts.length / 2);
      if (way === "carried") expect(carried).toBeGreaterThan(cuts.length / 2);
    },
    120_000,
  );

  it.each([
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
  ])(
    "behind an informational one: %j",
    async (before) => {
      const cuts = listCuts(24, PATHS, before);
      expect((await listTakenAsWhole(cuts, "own")).ends).toEqual(NONE);
    },
    120_000,
  );
});

const CLOSES = ["end", "reset"] as const;
const makeStreamHead = (id: string) => makeHead(id, "event stream");

describe("a stream whose next server closes right behind its head", () => {
  it.each(CLOSES)("is not complete if events came before: %s", async (close) => {
    const { fleet } = await startOnWay((socket, { id, sends }) => {
      if (sends > 0) writeAndClose(socket, makeStreamHead(id), close);
      else writeAndClose(socket, makeHead(id, "chunked") + formatFirst(id), "reset");
    });
    const { body, isWhole } = await askOf(fleet[0]!, "/verdict/", "s");
    expect({ isWhole, hasBegun: body.length > 0 }).toEqual({
      isWhole: false,
      hasBegun: true,
    });
  });

  it.each(CLOSES)("is not complete if its client took it up: %s", async (close) => {
    const { fleet } = await startOnWay((socket, { id }) =>
      writeAndClose(socket, makeStreamHead(id), close),
    );
    const headers = { "Last-Event-Id": "1" };
    const { status, isWhole } = await askOf(fleet[0]!, "/verdict/", "s", { headers });
    expect(status === 200 && isWhole).toBe(false);
  });

  const formatFirst = (id: string) => {
    const text = formatEvents(id, 0, 2);
    return `${text.length.toString(16)}\r\n${text}\r\n`;
  };
});

describe("a stream without framing whose server leaves and ends it behind an event", () => {
  type Leaving = Readonly<{
    events: number;
    first?: Close;
    then?: Close;
    /** Whether the server's process stops soon after. */
    stops?: boolean;
  }>;
  const askAtLeaving = async (leaving: Leaving) => {
    const { events, first = "end", then = "end", stops = false } = leaving;
    const engines: string[] = [];
    const sockets: Socket[] = [];
    const site = await startOnWay((socket, { id, server }) => {
      engines.push(server);
      sockets.push(socket);
      if (engines.length > 1) writeAndClose(socket, makeStreamHead(id), then);
      else socket.write(makeStreamHead(id) + formatEvents(id, 0, events));
    });
    const [box] = site.fleet;
    const asked = askOf(box!, "/verdict/", "s", { deadlineMs: 4_000 });
    await waitFor(() => sockets.length === 1);
    site.announceLeaving(engines[0]!);
    await waitFor(() => box!.lines.some(({ event }) => event === "server_leaving"));
    closeSocket(sockets[0]!, first);
    await waitMs(50);
    if (stops) site.stopListening(engines[0]!);
    return { ...(await asked), engines };
  };

  it("ends as complete if that server lives and the next one has nothing more", async () => {
    const { body, isWhole, engines } = await askAtLeaving({ events: EVENT_COUNT });
    expect({ body, isWhole }).toEqual({
      body: formatEvents("s", 0, EVENT_COUNT),
      isWhole: true,
    });
    expect(new Set(engines).size).toBe(2);
  });

  it.each<Omit<Leaving, "events">>([
    { first: "reset" },
    { then: "reset" },
    { first: "reset", then: "reset" },
    { stops: true },
  ])("does not end as complete if a server failed there: %j", async (closes) => {
    const { isWhole, engines } = await askAtLeaving({ events: 2, ...closes });
    expect({ isWhole, sends: engines.length > 1 }).toEqual({
      isWhole: false,
      sends: true,
    });
  });
});

describe("a sound answer is passed on whole", () => {
  it.each(["/again/", "/verdict/"])(
    "behind another server's half head: %s",
    async (path) => {
      const { fleet } = await startOnWay((socket, call) => {
        if (call.sends > 0) answerSoundly(socket, call);
        else writeAndClose(socket, makeHead(call.id, "none").slice(0, 30), "end");
      });
      expect(await askOf(fleet[0]!, path, "s")).toMatchObject({
        status: 200,
        isWhole: true,
      });
    },
  );

  it.each(PATHS)("if its head comes in pieces seconds apart: %s", async (path) => {
    const { fleet } = await startOnWay((socket, { id }) => {
      const { begin } = writeSoundAnswer("", { method: "POST", path, id, port: 0 });
      const writePieces = async () => {
        for (const from of [0, 20, 40]) {
          socket.write(begin.slice(from, from === 40 ? undefined : from + 20));
          await waitMs(600);
        }
      };
      void writePieces();
    });
    const answer = await askOf(fleet[0]!, path, "s", { deadlineMs: 5_000 });
    expect(answer).toMatchObject({ status: 200, isWhole: true });
  });
});
