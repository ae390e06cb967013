import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { gzipSync } from "node:zlib";
import fc from "fast-check";
import { afterEach, describe, expect, it } from "vitest";
import {
  advanceSettled,
  createSeededRandom,
  createSystemClock,
  createVirtualClock,
  Ok,
  type BoxName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import {
  NO_CRASH_UPDATE,
  type CrashUpdate,
  type RequestDigest,
} from "@stairgauge/crashes";
import type { ServerId } from "@stairgauge/directory";
import type { LimitUpdate } from "@stairgauge/limits";
import {
  INITIAL_REVISION,
  createTableMirror,
  makeRevision,
  type TableMirror,
} from "@stairgauge/storefeed";
import {
  createLoadRegistry,
  type EngineReport,
  type PlacedRun,
} from "@stairgauge/placement";
import {
  answerTable,
  applyUpdate,
  createMembership,
  createPeerLinks,
  createPeerServer,
  createRunReporter,
  createWatchShares,
  makeNotice,
  type HubNotice,
  type MovesAnswer,
  type Peer,
  type PeerMessage,
  type PlaceQuestion,
  type RunUpdate,
  type TableQuestion,
  type SharedLeaving,
  type SharedReport,
} from "./index.js";
import { toEqualMember } from "./sharedKnowledge.testkit.js";
import { decodeAnswer, decodeQuestion, encodeAnswer } from "./tableCodec.js";
import { decodeNotice, decodeUpdate, encodeNotice, encodeUpdate } from "./updateCodec.js";

const toRevision = (version: number) => makeRevision(1, version);

const server = "e1" as ServerId;
const DIGEST = "0123456789abcdef0123456789abcdef" as RequestDigest;
const KNOWN_CRASHES: CrashUpdate = {
  ends: [{ digest: DIGEST, server, age: 40 as Ms }],
  served: [],
};

const KNOWN_LIMITS: LimitUpdate = {
  named: [{ server, perSecond: 1.7, knownFor: 900 as Ms, age: 40 as Ms }],
  lifted: [{ server: "e2" as ServerId, age: 25 as Ms }],
};

const makeRun = (id: string): PlacedRun => ({
  id,
  promptTokens: 3_000,
  expectedOut: 200,
  hasBegun: false,
  isMovable: true,
});

const MOVES: MovesAnswer = {
  kind: "moves",
  runs: [{ id: "r", tokensInMemory: 3_000, tokensLeft: 200 }],
  targets: [
    { server: "e2" as ServerId, takenTokens: 5, totalTokens: 34_000, isNear: true },
  ],
};

const MAX_SILENCE = 1_000 as Ms;

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Waits for the condition; the test's own time limit ends it. */
const waitFor = async (isMet: () => boolean) => {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 5));
};

const openListener = async (greeting: CrashUpdate = NO_CRASH_UPDATE) => {
  const book = createLoadRegistry();
  const lost: string[] = [];
  const leaving: SharedLeaving[] = [];
  const reports: SharedReport[] = [];
  const outcomes: string[] = [];
  const places: PlaceQuestion[] = [];
  const withdrawn: string[] = [];
  const messages: PeerMessage[] = [];
  const crashes: CrashUpdate[] = [];
  const limits: Readonly<{ news: LimitUpdate; by: BoxName }>[] = [];
  const mirrors = new Map<string, TableMirror>();
  const pulse = createTableMirror(createSystemClock());
  const server = createPeerServer({
    onUpdate: (update) =>
      applyUpdate(
        {
          book,
          onLeaving: (told) => leaving.push(told),
          onReport: (told) => reports.push(told),
          onBroken: (broken) => outcomes.push(`broken ${broken}`),
          onAnswered: (answered) => outcomes.push(`answered ${answered}`),
          onCrashes: (news) => crashes.push(news),
          onLimits: (news, by) => limits.push({ news, by }),
        },
        update,
      ),
    makeGreeting: () => makeNotice({ crashes: greeting }),
    onPeerLost: (box) => {
      lost.push(box);
      book.dropPeer(box);
    },
    answerTable: (question) =>
      answerTable(
        { mirrors, pulse, mostSilence: MAX_SILENCE, catchUpWait: 0 as Ms },
        question,
      ),
    answerPlace: (question, signal) => {
      places.push(question);
      signal.addEventListener("abort", () => withdrawn.push(question.run.id));
      if (question.urgency.kind === "within") return new Promise(() => undefined);
      return Promise.resolve({ kind: "no_room", memoryAfter: 1.2 } as const);
    },
    answerMoves: () => Promise.resolve(MOVES),
    onMessage: (message) => messages.push(message),
  });
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  closers.push(server.close);
  return {
    book,
    lost,
    notify: server.notify,
    notifyAll: server.notifyAll,
    crashes,
    limits,
    leaving,
    reports,
    outcomes,
    places,
    withdrawn,
    messages,
    mirrors,
    pulse,
    peer: { box: "b" as BoxName, address: { host: "127.0.0.1", port }, capacity: 1 },
  };
};

const openTeller = () => {
  const clock = createSystemClock();
  const own = "a" as BoxName;
  const leaving: SharedLeaving[] = [];
  const notices: HubNotice[] = [];
  const tellers: BoxName[] = [];
  const book = createLoadRegistry((change) => teller.takeChange(change));
  const teller = createRunReporter({
    clock,
    own,
    book,
    send: (update) => links.tell(update),
    sendToSome: (update) => links.tellSome(update),
    listLeaving: () => leaving,
    listCrashes: () => KNOWN_CRASHES,
    listLimits: () => KNOWN_LIMITS,
  });
  const links = createPeerLinks({
    clock,
    random: createSeededRandom(1),
    own: toEqualMember(own),
    makeWhole: teller.makeWhole,
    onNotice: (notice, by) => {
      notices.push(notice);
      tellers.push(by);
    },
    onMessage: () => undefined,
  });
  closers.push(links.close);
  return { book, links, teller, leaving, notices, tellers };
};

describe("boxes that tell each other their runs", () => {
  it("tells what is there when a link comes up, then each change, and is forgotten when it closes", async () => {
    const there = await openListener();
    const here = openTeller();
    here.book.addRun(server, makeRun("before"));
    here.links.setPeers([there.peer, { ...there.peer, box: "a" as BoxName }]);
    expect(here.links.count()).toBe(1);
    await waitFor(() => there.book.listPeerRuns(server).length === 1);
    here.book.addRun(server, makeRun("after"));
    await waitFor(() => there.book.listPeerRuns(server).length === 2);
    here.book.removeRun(server, "before");
    here.book.markBegun(server, "after");
    await waitFor(() => there.book.listPeerRuns(server).some((run) => run.hasBegun));
    expect(there.book.listPeerRuns(server).map(({ id }) => id)).toEqual(["after"]);
    here.links.close();
    await waitFor(() => there.lost.length === 1);
    expect(there.book.listPeerRuns(server)).toEqual([]);
  });

  it("keeps only the last change of a run that changes twice before it is told", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    here.book.addRun(server, makeRun("short"));
    here.book.removeRun(server, "short");
    here.book.addRun(server, makeRun("stays"));
    await waitFor(() => there.book.listPeerRuns(server).length > 0);
    expect(there.book.listPeerRuns(server).map(({ id }) => id)).toEqual(["stays"]);
  });
});

describe("boxes that tell each other of servers that leave", () => {
  const told = { server, basis: "concluded" as const };

  it("tells a new link what left before, and then each that leaves", async () => {
    const there = await openListener();
    const here = openTeller();
    here.leaving.push(told);
    here.links.setPeers([there.peer]);
    await waitFor(() => there.leaving.length === 1);
    const next = { server: "e2" as ServerId, basis: "entry_gone" as const };
    here.teller.reportLeaving(next);
    await waitFor(() => there.leaving.length === 2);
    expect(there.leaving).toEqual([told, next]);
  });

  it("tells three boxes of many, none twice", async () => {
    const listeners = await Promise.all([1, 2, 3, 4, 5, 6].map(() => openListener()));
    const here = openTeller();
    here.links.setPeers(
      listeners.map(({ peer }, i) => ({ ...peer, box: `b${i}` as BoxName })),
    );
    const run = makeRun("r");
    here.book.addRun(server, run);
    await waitFor(() =>
      listeners.every(({ book }) => book.listPeerRuns(server).length === 1),
    );
    here.teller.reportLeaving(told);
    here.book.removeRun(server, run.id);
    await waitFor(() =>
      listeners.every(({ book }) => book.listPeerRuns(server).length === 0),
    );
    expect(listeners.map(({ leaving }) => leaving.length).toSorted()).toEqual([
      0, 0, 0, 1, 1, 1,
    ]);
  });
});

describe("boxes that ask a hub", () => {
  const makeQuestion = (urgency: PlaceQuestion["urgency"]): PlaceQuestion => ({
    box: "a" as BoxName,
    run: makeRun("r"),
    service: "s" as ServiceName,
    tier: 1,
    except: [server],
    urgency,
  });

  it("hear what it says of a place and of moves", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    const { signal } = new AbortController();
    const asked = makeQuestion({ kind: "if_room" });
    const place = await here.links.askPlace(there.peer.box, asked, signal);
    expect(place.val).toEqual({ kind: "no_room", memoryAfter: 1.2 });
    expect(there.places).toEqual([asked]);
    const moves = { server, isFresh: true };
    const told = await here.links.askMoves(there.peer.box, moves, signal);
    expect(told.val).toEqual(MOVES);
    const calls = there.messages.map(({ call, direction }) => `${call} ${direction}`);
    expect(calls.toSorted()).toEqual([
      "ask_moves received",
      "ask_moves sent",
      "ask_place received",
      "ask_place sent",
      "tell_runs received",
    ]);
    expect(Math.min(...there.messages.map(({ bytes }) => bytes))).toBeGreaterThan(10);
  });

  it("take a request back that waits there when its client has left", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    const left = new AbortController();
    const asked = makeQuestion({ kind: "within", wait: 60_000 as Ms });
    const waiting = here.links.askPlace(there.peer.box, asked, left.signal);
    await waitFor(() => there.places.length === 1);
    left.abort();
    expect((await waiting).val).toMatchObject({ kind: "failed" });
    await waitFor(() => there.withdrawn.length === 1);
  });

  it("tell it of a server that breaks requests off, and that it answers again", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    await waitFor(() => here.links.listUp().length === 1);
    here.teller.reportBroken(server);
    here.book.addRun(server, makeRun("r"));
    here.book.markBegun(server, "r");
    await waitFor(() => there.outcomes.length === 2);
    expect(there.outcomes).toEqual([`broken ${server}`, `answered ${server}`]);
  });

  it("are told by it of a server that leaves", async () => {
    const there = await openListener();
    const here = openTeller();
    here.book.addRun(server, makeRun("r"));
    here.links.setPeers([there.peer]);
    await waitFor(() => there.book.listPeersAt(server).length === 1);
    const notice = makeNotice({ leaving: [{ server, basis: "concluded" as const }] });
    there.notify(there.book.listPeersAt(server) as BoxName[], notice);
    await waitFor(() => here.notices.length === 1);
    expect(here.notices).toEqual([notice]);
  });

  it("tell all they know of requests that end servers when a link comes up, and then what they see", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    await waitFor(() => there.crashes.length === 1);
    here.teller.takeCrashes({ ends: [], served: [DIGEST] });
    here.teller.takeCrashes(KNOWN_CRASHES);
    await waitFor(() => there.crashes.length === 2);
    const both = { ends: KNOWN_CRASHES.ends, served: [DIGEST] };
    expect(there.crashes).toEqual([KNOWN_CRASHES, both]);
  });

  it("tell all limits they know when a link comes up, and then what they hear, together", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    await waitFor(() => there.limits.length === 1);
    const lift = { server, age: 20 as Ms };
    here.teller.takeLimits({ named: [], lifted: [lift] });
    here.teller.takeLimits(KNOWN_LIMITS);
    await waitFor(() => there.limits.length === 2);
    const both = { named: KNOWN_LIMITS.named, lifted: [lift, ...KNOWN_LIMITS.lifted] };
    expect(there.limits).toEqual([
      { news: KNOWN_LIMITS, by: "a" },
      { news: both, by: "a" },
    ]);
  });

  it("are told of limits by a hub, and by which", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    await waitFor(() => there.limits.length === 1);
    there.notifyAll(makeNotice({ limits: KNOWN_LIMITS }));
    await waitFor(() => here.notices.length === 1);
    expect(here.notices[0]!.limits).toEqual(KNOWN_LIMITS);
    expect(here.tellers).toEqual(["b"]);
  });

  it("are told of such requests as soon as their link is up, and of each change", async () => {
    const there = await openListener(KNOWN_CRASHES);
    const here = openTeller();
    here.links.setPeers([there.peer]);
    await waitFor(() => here.notices.length === 1);
    there.notifyAll(makeNotice({ crashes: { ends: [], served: [DIGEST] } }));
    await waitFor(() => here.notices.length === 2);
    expect(here.notices.map(({ crashes }) => crashes)).toEqual([
      KNOWN_CRASHES,
      { ends: [], served: [DIGEST] },
    ]);
  });
});

const REPORT: EngineReport = {
  startedAt: undefined,
  isLeaving: true,
  leavesIn: 2_000 as Ms,
  waiting: 1,
  firstWaitingTokens: 3_000,
  running: 2,
  memoryUsed: 9_000,
  memoryTotal: 34_000,
  runs: [{ id: "r1", tokensInMemory: 3_100, eventsMade: 4 }],
};

/** Passes bytes on until told to fall silent: what is open then stays open and brings nothing more, while new ones work. */
const openSilencer = async (port: number) => {
  const open = new Set<Socket>();
  const proxy = createServer((inner) => {
    const outer = connect(port, "127.0.0.1");
    inner.pipe(outer).pipe(inner);
    for (const socket of [inner, outer]) {
      open.add(socket);
      socket.on("error", () => undefined);
    }
  });
  await new Promise<void>((resolve) => proxy.listen(0, "127.0.0.1", resolve));
  closers.push(() => {
    proxy.close();
    for (const socket of open) socket.destroy();
  });
  const stopAll = () => {
    for (const socket of open) {
      socket.unpipe();
      socket.removeAllListeners("end");
      socket.pause();
    }
  };
  return { port: (proxy.address() as AddressInfo).port, stopAll };
};

describe("a link that has gone silent for good", () => {
  it("is opened anew, and tells all runs again", async () => {
    const there = await openListener();
    const silencer = await openSilencer(there.peer.address.port);
    const here = openTeller();
    const address = { host: "127.0.0.1", port: silencer.port };
    here.links.setPeers([{ ...there.peer, address }]);
    here.book.addRun(server, makeRun("before"));
    await waitFor(() => there.book.listPeerRuns(server).length === 1);
    silencer.stopAll();
    here.book.addRun(server, makeRun("unheard"));
    const given = new AbortController();
    const question = { kind: "whole", table: "t", atLeast: INITIAL_REVISION } as const;
    const unanswered = here.links.ask(there.peer.box, question, given.signal);
    given.abort();
    expect((await unanswered).val).toMatchObject({ kind: "failed" });
    here.links.renew(there.peer.box);
    await waitFor(() => there.book.listPeerRuns(server).length === 2);
    const { signal } = new AbortController();
    expect((await here.links.ask(there.peer.box, question, signal)).val).toEqual({
      kind: "not_known",
    });
  });
});

describe("boxes known by address only", () => {
  it("are asked until the list of boxes names others", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setSeeds([there.peer.address]);
    await waitFor(() => here.links.listUp().length === 1);
    here.links.setPeers([]);
    expect(here.links.count()).toBe(1);
    here.links.setPeers([there.peer]);
    await waitFor(() => here.links.listUp().some(({ box }) => box === there.peer.box));
    expect(here.links.count()).toBe(1);
  });
});

describe("boxes that share out the engines' reports", () => {
  it("tell all others what an engine reported to one of them, also without a change of runs", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    here.teller.takeReport({ server, report: REPORT });
    await waitFor(() => there.reports.length === 1);
    expect(there.reports).toEqual([{ server, report: REPORT }]);
  });

  it("ask each engine from two boxes, from one that is alone, and from others when a watcher goes", () => {
    const boxes = ["a", "b", "c", "d", "e"].map((name) => name as BoxName);
    const engines = Array.from({ length: 30 }, (_, i) => `engine-${i}` as ServerId);
    const listWatchers = (members: readonly BoxName[], engine: ServerId) =>
      members.filter((own) => {
        return createWatchShares(own, { listHubs: () => members }).isWatcher(engine);
      });
    for (const engine of engines) {
      const watchers = listWatchers(boxes, engine);
      expect(watchers).toHaveLength(2);
      const left = boxes.filter((name) => name !== watchers[0]);
      expect(listWatchers(left, engine)).toContain(watchers[1]);
      expect(listWatchers(left, engine)).toHaveLength(2);
      expect(listWatchers(boxes.slice(0, 1), engine)).toHaveLength(1);
    }
    const own = boxes[0]!;
    let hubs = boxes;
    const shares = createWatchShares(own, { listHubs: () => hubs });
    expect(shares.countWatchers()).toBe(2);
    const before = engines.filter(shares.isWatcher).length;
    hubs = boxes.slice(1);
    expect(engines.some(shares.isWatcher)).toBe(false);
    hubs = [own];
    expect(shares.countWatchers()).toBe(1);
    expect(before).toBeLessThan(engines.length);
    expect(engines.every(shares.isWatcher)).toBe(true);
  });
});

describe("boxes that ask each other for a table", () => {
  const row = { key: "k", value: Buffer.from([0, 200]), revision: toRevision(4) };
  const takeNothing = () => undefined;
  const NOBODY = {
    onWhole: takeNothing,
    onChanges: takeNothing,
    onFailure: takeNothing,
    onRegained: takeNothing,
  };
  const { signal } = new AbortController();

  it("answers whole tables and news with their age, and says what it does not know", async () => {
    const there = await openListener();
    const here = openTeller();
    here.links.setPeers([there.peer]);
    await waitFor(() => here.links.listUp().length === 1);
    const ask = (question: TableQuestion) =>
      here.links.ask(there.peer.box, question, signal);
    const whole = { kind: "whole", table: "t", atLeast: INITIAL_REVISION } as const;
    expect((await ask(whole)).val).toEqual({ kind: "not_known" });
    const clock = createSystemClock();
    const mirror = createTableMirror(clock);
    there.mirrors.set("t", mirror);
    expect((await ask(whole)).val).toEqual({ kind: "not_known" });
    const sink = mirror.observe(NOBODY);
    there.pulse.observe(NOBODY).onWhole([], clock.monotonic(), toRevision(1));
    sink.onWhole([row], (clock.monotonic() - 50) as Ms, toRevision(7));
    const read = await ask(whole);
    expect(read.val).toMatchObject({
      kind: "whole",
      rows: [row],
      revision: toRevision(7),
    });
    expect(read.ok && read.val.kind === "whole" && read.val.age).toBeGreaterThanOrEqual(
      50,
    );
    const news = ask({
      kind: "changes",
      table: "t",
      since: toRevision(7),
      wait: 60_000 as Ms,
    });
    sink.onChanges([{ kind: "gone", key: "k" }], clock.monotonic(), toRevision(9));
    expect((await news).val).toMatchObject({
      kind: "changes",
      changes: [{ kind: "gone", key: "k" }],
      revision: toRevision(9),
    });
    const behind = {
      kind: "changes",
      table: "t",
      since: toRevision(3),
      wait: 0 as Ms,
    } as const;
    expect((await ask(behind)).val).toEqual({ kind: "history_gone" });
  });

  it("tells how long the store is silent by the table that it confirms most, whatever the others say", async () => {
    const clock = createVirtualClock();
    clock.advance(10_000 as Ms);
    const pulse = createTableMirror(clock);
    const other = createTableMirror(clock);
    pulse.observe(NOBODY).onWhole([], 7_000 as Ms, toRevision(1));
    other.observe(NOBODY).onWhole([], 9_900 as Ms, toRevision(1));
    const sources = {
      mirrors: new Map([
        ["pulse", pulse],
        ["other", other],
      ]),
      pulse,
      mostSilence: MAX_SILENCE,
      catchUpWait: 0 as Ms,
    };
    const whole = await answerTable(sources, {
      kind: "whole",
      table: "other",
      atLeast: INITIAL_REVISION,
    });
    expect(whole).toMatchObject({ age: 100, silence: 3_000 });
    const question = { kind: "changes", table: "other", since: toRevision(1) } as const;
    const news = await answerTable(sources, { ...question, wait: 60_000 as Ms });
    expect(news).toMatchObject({ changes: [], age: 100, silence: 3_000 });
  });

  it("says that there is no link, that a call failed, and that it was given up", async () => {
    const here = openTeller();
    const question = { kind: "whole", table: "t", atLeast: INITIAL_REVISION } as const;
    const nobody = "nobody" as BoxName;
    expect((await here.links.ask(nobody, question, signal)).val).toEqual({
      kind: "no_link",
    });
    const there = await openListener();
    here.links.setPeers([there.peer]);
    await waitFor(() => here.links.listUp().length === 1);
    const mirror = createTableMirror(createSystemClock());
    there.mirrors.set("t", mirror);
    const now = createSystemClock().monotonic();
    mirror.observe(NOBODY).onWhole([], now, toRevision(1));
    there.pulse.observe(NOBODY).onWhole([], now, toRevision(1));
    const call = new AbortController();
    const waiting = here.links.ask(
      there.peer.box,
      { kind: "changes", table: "t", since: toRevision(1), wait: 60_000 as Ms },
      call.signal,
    );
    call.abort();
    expect((await waiting).val).toMatchObject({ kind: "failed" });
  });
});

describe("tableCodec", () => {
  const KEY = fc.string({ maxLength: 20 });
  const REVISION = fc.tuple(fc.nat(), fc.nat()).map(([era, n]) => makeRevision(era, n));
  const ROW = fc.record({
    key: KEY,
    value: fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
    revision: REVISION,
  });
  const CHANGE = fc.oneof(
    ROW.map((row) => ({ kind: "put", row }) as const),
    KEY.map((key) => ({ kind: "gone", key }) as const),
  );
  const AGE = fc.nat().map((age) => age as Ms);
  const ANSWER = fc.oneof(
    fc.record({
      kind: fc.constant("whole" as const),
      rows: fc.array(ROW, { maxLength: 4 }),
      revision: REVISION,
      age: AGE,
      silence: AGE,
    }),
    fc.record({
      kind: fc.constant("changes" as const),
      changes: fc.array(CHANGE, { maxLength: 4 }),
      revision: REVISION,
      age: AGE,
      silence: AGE,
    }),
    fc.constantFrom({ kind: "not_known" as const }, { kind: "history_gone" as const }),
  );

  it("brings every answer across unchanged (property)", () => {
    fc.assert(
      fc.property(ANSWER, (answer) => {
        expect(decodeAnswer(encodeAnswer(answer))).toEqual(answer);
      }),
      { seed: 3, numRuns: 300 },
    );
  });

  it("brings a configuration of many routes across in a tenth of its bytes, and each box its own copy", () => {
    const routes = Array.from({ length: 1_400 }, (_, i) => ({
      prefix: `/route-${i}/`,
      service: `service-${i % 7}`,
      timeoutMs: 4_000,
      priority: i % 3,
    }));
    const value = Buffer.from(JSON.stringify({ version: 7, routes }));
    const answer = {
      kind: "changes",
      changes: [{ kind: "put", row: { key: "config", value, revision: toRevision(7) } }],
      revision: toRevision(7),
      age: 3 as Ms,
      silence: 3 as Ms,
    } as const;
    const bytes = encodeAnswer(answer);
    expect(bytes.length).toBeLessThan(value.length / 10);
    expect(encodeAnswer(answer)).toEqual(bytes);
    expect(decodeAnswer(bytes)).toEqual(answer);
  });

  it("refuses a value that is no compressed one, or too large when it is opened", () => {
    const toAnswer = (zipped: string) =>
      Buffer.from(
        JSON.stringify({
          kind: "whole",
          rows: [{ key: "k", zipped, revision: 1 }],
          revision: 1,
          age: 0,
          silence: 0,
        }),
      );
    const tooLarge = gzipSync(Buffer.alloc(17 * 1024 * 1024)).toString("base64");
    expect(() => decodeAnswer(toAnswer("AAAA"))).toThrow();
    expect(() => decodeAnswer(toAnswer(tooLarge))).toThrow();
  });

  it.each([
    "",
    "[]",
    '{"kind":"all"}',
    '{"kind":"changes","table":"t","since":-1,"wait":0}',
  ])("refuses the question %j", (text) => {
    expect(() => decodeQuestion(Buffer.from(text))).toThrow();
  });

  it.each([
    "{",
    '{"kind":"whole","rows":[],"revision":1}',
    '{"kind":"whole","rows":[{}]}',
  ])("refuses the answer %j", (text) => {
    expect(() => decodeAnswer(Buffer.from(text))).toThrow();
  });
});

describe("updateCodec", () => {
  it("brings a notice across unchanged", () => {
    const row = { key: "k", value: Buffer.alloc(5_000, 7), revision: toRevision(4) };
    const notice: HubNotice = {
      leaving: [{ server, basis: "own_word" }],
      crashes: KNOWN_CRASHES,
      limits: KNOWN_LIMITS,
      unsettled: [{ table: "t", era: 2, kept: [row], withheld: [row] }],
    };
    expect(decodeNotice(encodeNotice(notice))).toEqual(notice);
    expect(decodeNotice(Buffer.from("{}")).unsettled).toEqual([]);
  });

  it("brings an update across unchanged", () => {
    const update: RunUpdate = {
      box: "a" as BoxName,
      isWhole: true,
      put: [{ server, run: makeRun("r") }],
      drop: [{ server, id: "q" }],
      leaving: [{ server, basis: "entry_gone" as const }],
      reports: [
        { server, report: REPORT },
        { server, report: { ...REPORT, leavesIn: undefined } },
      ],
      broken: [server],
      crashes: { ...KNOWN_CRASHES, served: [DIGEST] },
      limits: KNOWN_LIMITS,
    };
    expect(decodeUpdate(encodeUpdate(update))).toEqual(update);
  });

  it.each([
    "",
    "{",
    "[]",
    '{"box":"a"}',
    '{"box":"a","whole":true,"put":[],"drop":[],"crashes":{"ends":[],"served":["x"]}}',
    '{"box":"a","whole":true,"put":[],"drop":[],"limits":{"named":[],"lifted":[{"server":"s","age":-1}]}}',
    '{"box":"a","whole":true,"put":[],"drop":[],"limits":{"named":[{"server":"s","perSecond":0,"knownFor":1,"age":1}],"lifted":[]}}',
  ])("refuses %j", (text) => {
    expect(() => decodeUpdate(Buffer.from(text))).toThrow();
  });
});

describe("createMembership", () => {
  const own: Peer = {
    box: "a" as BoxName,
    address: { host: "10.0.0.1", port: 7 },
    capacity: 1,
  };
  const toRow = (box: string, address: unknown) => ({
    key: box,
    value: Buffer.from(JSON.stringify(address)),
    revision: toRevision(1),
  });

  it("puts its row, tells who is there, and names a row that cannot be read", async () => {
    const written: string[] = [];
    const peers: string[][] = [];
    const failures: unknown[] = [];
    const membership = createMembership({
      clock: createSystemClock(),
      random: createSeededRandom(1),
      writer: {
        putRow: ({ key }) => {
          written.push(`put ${key}`);
          return Promise.resolve(Ok(undefined));
        },
        dropRow: ({ key }) => {
          written.push(`drop ${key}`);
          return Promise.resolve(Ok(undefined));
        },
      },
      table: "boxes",
      getOwn: () => own,
      limit: 100 as Ms,
      onPeers: (members) => peers.push(members.map(({ box }) => box)),
      onFailure: (failure) => failures.push(failure),
    });
    membership.join();
    membership.sink.onWhole(
      [toRow("a", own.address), toRow("b", { host: "10.0.0.2", port: 7 }), toRow("c", 4)],
      0 as Ms,
      toRevision(1),
    );
    membership.sink.onChanges([{ kind: "gone", key: "b" }], 1 as Ms, toRevision(1));
    await membership.leave();
    expect(written).toEqual(["put a", "drop a"]);
    expect(peers).toEqual([["a", "b"], ["a"]]);
    expect(failures).toEqual([{ kind: "unreadable_member", key: "c" }]);
  });

  it("spread their rows over time when the store has lost them all", async () => {
    const BOXES = 400;
    const clock = createVirtualClock();
    const random = createSeededRandom(2);
    const rows = Array.from({ length: BOXES }, (_, i) =>
      toRow(`b${i}`, { host: "10.0.0.1", port: i + 1 }),
    );
    const writtenAt: number[] = [];
    const putRow = () => {
      writtenAt.push(clock.monotonic());
      return Promise.resolve(Ok(undefined));
    };
    for (const { key } of rows) {
      const { sink } = createMembership({
        clock,
        random,
        writer: { putRow, dropRow: putRow },
        table: "boxes",
        getOwn: () => ({
          box: key as BoxName,
          address: { host: "10.0.0.1", port: Number(key.slice(1)) + 1 },
          capacity: 1,
        }),
        limit: 100 as Ms,
        onPeers: () => undefined,
        onFailure: () => undefined,
      });
      sink.onWhole(rows, 0 as Ms, toRevision(1));
      // The rule for the own row drops it alone.
      const others = rows.filter((row) => row.key !== key);
      sink.onWhole(others, 0 as Ms, makeRevision(2, 1));
    }
    await advanceSettled(clock, 1_000 as Ms);
    expect(writtenAt.length).toBeLessThan(150);
    const firstWrites = new Set(writtenAt);
    expect(firstWrites.size).toBeGreaterThan(50);
  });
});
