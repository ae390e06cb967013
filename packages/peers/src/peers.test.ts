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
import type { CarryFrame, CarryQuestion } from "@stairgauge/paths";
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

/** Calls that may be open at a server, and twice as many as on one connection to it. */
const MAX_CALLS = 400;

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const close of cleanups.splice(0)) close();
});

/** Waits for the condition; the test's own time limit ends it. */
const waitFor = async (isMet: () => boolean) => {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 5));
};

const openServer = async (initialCrashes: CrashUpdate = NO_CRASH_UPDATE) => {
  const registry = createLoadRegistry();
  const lost: string[] = [];
  const leaving: SharedLeaving[] = [];
  const reports: SharedReport[] = [];
  const outcomes: string[] = [];
  const places: PlaceQuestion[] = [];
  const cancelled: string[] = [];
  const messages: PeerMessage[] = [];
  const crashes: CrashUpdate[] = [];
  const limits: Readonly<{ update: LimitUpdate; by: BoxName }>[] = [];
  const carried: CarryQuestion[] = [];
  const mirrors = new Map<string, TableMirror>();
  const pulse = createTableMirror(createSystemClock());
  const server = createPeerServer({
    onUpdate: (update) =>
      applyUpdate(
        {
          registry,
          onLeaving: (shared) => leaving.push(shared),
          onReport: (shared) => reports.push(shared),
          onBroken: (broken) => outcomes.push(`broken ${broken}`),
          onAnswered: (answered) => outcomes.push(`answered ${answered}`),
          onCrashes: (update) => crashes.push(update),
          onLimits: (update, by) => limits.push({ update, by }),
        },
        update,
      ),
    makeFirstNotice: () => makeNotice({ crashes: initialCrashes }),
    onPeerLost: (box) => {
      lost.push(box);
      registry.dropPeer(box);
    },
    answerTable: (question) =>
      answerTable(
        { mirrors, pulse, maxSilence: MAX_SILENCE, catchUpWait: 0 as Ms },
        question,
      ),
    answerPlace: (question, signal) => {
      places.push(question);
      signal.addEventListener("abort", () => cancelled.push(question.run.id));
      if (question.urgency.kind === "within") return new Promise(() => undefined);
      return Promise.resolve({ kind: "no_room", memoryAfter: 1.2 } as const);
    },
    answerMoves: () => Promise.resolve(MOVES),
    answerOrigin: () => Promise.resolve({ kind: "not_known" }),
    answerCarry: (question, answer) => {
      carried.push(question);
      answer.write({ kind: "connected" });
      answer.write({ kind: "data", bytes: question.body });
      const isHeld = question.target === "/held";
      if (!isHeld) {
        answer.write({ kind: "ended", by: "framing" });
        answer.end();
      }
      return {
        onCancelled: () => void cancelled.push(question.target),
        onDrain: () => undefined,
      };
    },
    onMessage: (message) => messages.push(message),
    clock: createSystemClock(),
    limits: {
      maxConnections: 100,
      maxCalls: MAX_CALLS,
      maxCallsOfConnection: MAX_CALLS / 2,
      maxUnreadBytes: 1_000_000,
      maxUnhandledBytes: 1_000_000,
    },
    onLimit: () => undefined,
  });
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  cleanups.push(server.close);
  return {
    registry,
    lost,
    notify: server.notify,
    notifyAll: server.notifyAll,
    countConnections: server.countConnections,
    crashes,
    limits,
    leaving,
    reports,
    outcomes,
    places,
    cancelled,
    carried,
    messages,
    mirrors,
    pulse,
    peer: { box: "b" as BoxName, address: { host: "127.0.0.1", port }, capacity: 1 },
  };
};

const openReporter = () => {
  const clock = createSystemClock();
  const own = "a" as BoxName;
  const leaving: SharedLeaving[] = [];
  const notices: HubNotice[] = [];
  const senders: BoxName[] = [];
  const registry = createLoadRegistry((change) => reporter.recordChange(change));
  const reporter = createRunReporter({
    clock,
    own,
    registry,
    send: (update) => links.send(update),
    sendToSome: (update) => links.sendToSome(update),
    listLeaving: () => leaving,
    listCrashes: () => KNOWN_CRASHES,
    listLimits: () => KNOWN_LIMITS,
  });
  const links = createPeerLinks({
    clock,
    random: createSeededRandom(1),
    own: toEqualMember(own),
    makeWhole: reporter.makeWhole,
    onNotice: (notice, by) => {
      notices.push(notice);
      senders.push(by);
    },
    onMessage: () => undefined,
  });
  cleanups.push(links.close);
  return { registry, links, reporter, leaving, notices, senders };
};

describe("boxes that report their runs to each other", () => {
  it("sends all runs when a link comes up, then each change, and its runs are dropped when the link closes", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.registry.addRun(server, makeRun("before"));
    local.links.setPeers([remote.peer, { ...remote.peer, box: "a" as BoxName }]);
    expect(local.links.count()).toBe(1);
    await waitFor(() => remote.registry.listPeerRuns(server).length === 1);
    local.registry.addRun(server, makeRun("after"));
    await waitFor(() => remote.registry.listPeerRuns(server).length === 2);
    local.registry.removeRun(server, "before");
    local.registry.markBegun(server, "after");
    await waitFor(() => remote.registry.listPeerRuns(server).some((run) => run.hasBegun));
    expect(remote.registry.listPeerRuns(server).map(({ id }) => id)).toEqual(["after"]);
    local.links.close();
    await waitFor(() => remote.lost.length === 1);
    expect(remote.registry.listPeerRuns(server)).toEqual([]);
  });

  it("sends only the last change of a run that changes twice within a batch", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    local.registry.addRun(server, makeRun("short"));
    local.registry.removeRun(server, "short");
    local.registry.addRun(server, makeRun("stays"));
    await waitFor(() => remote.registry.listPeerRuns(server).length > 0);
    expect(remote.registry.listPeerRuns(server).map(({ id }) => id)).toEqual(["stays"]);
  });
});

describe("boxes that report leaving servers to each other", () => {
  const sharedLeaving = { server, evidence: "concluded" as const };

  it("sends the servers that already leave over a new link, and then each further one", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.leaving.push(sharedLeaving);
    local.links.setPeers([remote.peer]);
    await waitFor(() => remote.leaving.length === 1);
    const next = { server: "e2" as ServerId, evidence: "entry_gone" as const };
    local.reporter.reportLeaving(next);
    await waitFor(() => remote.leaving.length === 2);
    expect(remote.leaving).toEqual([sharedLeaving, next]);
  });

  it("sends a leaving server to three of many boxes, to none twice", async () => {
    const listeners = await Promise.all([1, 2, 3, 4, 5, 6].map(() => openServer()));
    const local = openReporter();
    local.links.setPeers(
      listeners.map(({ peer }, i) => ({ ...peer, box: `b${i}` as BoxName })),
    );
    const run = makeRun("r");
    local.registry.addRun(server, run);
    await waitFor(() =>
      listeners.every(({ registry }) => registry.listPeerRuns(server).length === 1),
    );
    local.reporter.reportLeaving(sharedLeaving);
    local.registry.removeRun(server, run.id);
    await waitFor(() =>
      listeners.every(({ registry }) => registry.listPeerRuns(server).length === 0),
    );
    expect(listeners.map(({ leaving }) => leaving.length).toSorted()).toEqual([
      0, 0, 0, 1, 1, 1,
    ]);
  });
});

describe("boxes that carry requests for others", () => {
  const QUESTION: CarryQuestion = {
    server,
    isNewWork: true,
    method: "POST",
    target: "/a?b=c",
    headers: ["Name", "v\u00e9", "Name", "w"],
    body: Buffer.from([0, 255, 10, 13]),
  };
  const carry = (
    { links }: ReturnType<typeof openReporter>,
    box: BoxName,
    question: CarryQuestion,
  ) => {
    const frames: CarryFrame[] = [];
    const ends: (string | undefined)[] = [];
    const call = links.carriers.call(box, question, {
      onFrame: (frame) => frames.push(frame),
      onEnd: (detail) => ends.push(detail),
    });
    return { frames, ends, call };
  };

  it("receive the request unchanged, and pass the frames back in order", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.carriers.listBoxes().length === 1);
    const { frames, ends } = carry(local, remote.peer.box, QUESTION);
    await waitFor(() => ends.length === 1);
    expect(remote.carried).toEqual([QUESTION]);
    expect(frames).toEqual([
      { kind: "connected" },
      { kind: "data", bytes: QUESTION.body },
      { kind: "ended", by: "framing" },
    ]);
    expect(ends).toEqual([undefined]);
  });

  it("are told when the asking box cancels, and tell it nothing more", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.carriers.listBoxes().length === 1);
    const asked = carry(local, remote.peer.box, { ...QUESTION, target: "/held" });
    await waitFor(() => asked.frames.length === 2);
    asked.call?.cancel();
    await waitFor(() => remote.cancelled.includes("/held"));
    expect(asked.ends).toEqual([]);
  });

  it("are reached over channels of their own where only hubs are linked", async () => {
    const remotes = await Promise.all(Array.from({ length: 14 }, () => openServer()));
    const peers = remotes.map(({ peer }, i) => ({ ...peer, box: `b${i}` as BoxName }));
    const local = openReporter();
    local.links.setPeers(peers);
    await waitFor(() => local.links.listConnected().length === local.links.count());
    const linked = new Set(local.links.listConnected().map(({ box }) => box));
    const further = local.links.carriers.listBoxes().filter((box) => !linked.has(box));
    expect(further.length).toBeGreaterThanOrEqual(4);
    const { ends, frames } = carry(local, further[0]!, QUESTION);
    await waitFor(() => ends.length === 1);
    expect(frames).toHaveLength(3);
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

  // Guards against a bound on open calls that fails the questions of a sound box.
  it("receive all answers where they ask more at once than one connection may have open", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.listConnected().length === 1);
    const { signal } = new AbortController();
    const asked = makeQuestion({ kind: "if_room" });
    const places = await Promise.all(
      Array.from({ length: 3 * MAX_CALLS }, () =>
        local.links.askPlace(remote.peer.box, asked, signal),
      ),
    );
    expect(places.filter((place) => place.err)).toEqual([]);
    expect(remote.lost).toEqual([]);
  });

  // Guards against urgent requests that are held back behind others that wait at the box that admits them.
  it("receive an answer while many others of their questions wait for a place", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.listConnected().length === 1);
    const left = new AbortController();
    const { signal } = left;
    const waiting = Array.from({ length: 150 }, () =>
      local.links.askPlace(
        remote.peer.box,
        makeQuestion({ kind: "within", wait: 60_000 as Ms }),
        signal,
      ),
    );
    const place = await local.links.askPlace(
      remote.peer.box,
      makeQuestion({ kind: "if_room" }),
      signal,
    );
    expect(place.val).toEqual({ kind: "no_room", memoryAfter: 1.2 });
    left.abort();
    await Promise.all(waiting);
  });

  it("receive its answers to questions for a place and for moves", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    const { signal } = new AbortController();
    const asked = makeQuestion({ kind: "if_room" });
    const place = await local.links.askPlace(remote.peer.box, asked, signal);
    expect(place.val).toEqual({ kind: "no_room", memoryAfter: 1.2 });
    expect(remote.places).toEqual([asked]);
    const moves = { server, isFresh: true };
    const planned = await local.links.askMoves(remote.peer.box, moves, signal);
    expect(planned.val).toEqual(MOVES);
    const calls = remote.messages.map(({ call, direction }) => `${call} ${direction}`);
    expect(calls.toSorted()).toEqual([
      "ask_moves received",
      "ask_moves sent",
      "ask_place received",
      "ask_place sent",
      "tell_runs received",
    ]);
    expect(Math.min(...remote.messages.map(({ bytes }) => bytes))).toBeGreaterThan(10);
  });

  it("cancel a waiting question at the hub when the client has disconnected", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    const disconnected = new AbortController();
    const asked = makeQuestion({ kind: "within", wait: 60_000 as Ms });
    const waiting = local.links.askPlace(remote.peer.box, asked, disconnected.signal);
    await waitFor(() => remote.places.length === 1);
    disconnected.abort();
    expect((await waiting).val).toMatchObject({ kind: "failed" });
    await waitFor(() => remote.cancelled.length === 1);
  });

  it("report to it that a server breaks off requests, and that the server answers again", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.listConnected().length === 1);
    local.reporter.reportBroken(server);
    local.registry.addRun(server, makeRun("r"));
    local.registry.markBegun(server, "r");
    await waitFor(() => remote.outcomes.length === 2);
    expect(remote.outcomes).toEqual([`broken ${server}`, `answered ${server}`]);
  });

  it("receive its notice of a leaving server", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.registry.addRun(server, makeRun("r"));
    local.links.setPeers([remote.peer]);
    await waitFor(() => remote.registry.listPeersAt(server).length === 1);
    const notice = makeNotice({ leaving: [{ server, evidence: "concluded" as const }] });
    remote.notify(remote.registry.listPeersAt(server) as BoxName[], notice);
    await waitFor(() => local.notices.length === 1);
    expect(local.notices).toEqual([notice]);
  });

  it("send all crashes on record when a link comes up, and then new ones in one update", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => remote.crashes.length === 1);
    local.reporter.recordCrashes({ ends: [], served: [DIGEST] });
    local.reporter.recordCrashes(KNOWN_CRASHES);
    await waitFor(() => remote.crashes.length === 2);
    const both = { ends: KNOWN_CRASHES.ends, served: [DIGEST] };
    expect(remote.crashes).toEqual([KNOWN_CRASHES, both]);
  });

  it("send all limits on record when a link comes up, and then new ones in one update", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => remote.limits.length === 1);
    const lift = { server, age: 20 as Ms };
    local.reporter.recordLimits({ named: [], lifted: [lift] });
    local.reporter.recordLimits(KNOWN_LIMITS);
    await waitFor(() => remote.limits.length === 2);
    const both = { named: KNOWN_LIMITS.named, lifted: [lift, ...KNOWN_LIMITS.lifted] };
    expect(remote.limits).toEqual([
      { update: KNOWN_LIMITS, by: "a" },
      { update: both, by: "a" },
    ]);
  });

  it("receive limits from a hub, with the name of the hub", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => remote.limits.length === 1);
    remote.notifyAll(makeNotice({ limits: KNOWN_LIMITS }));
    await waitFor(() => local.notices.length === 1);
    expect(local.notices[0]!.limits).toEqual(KNOWN_LIMITS);
    expect(local.senders).toEqual(["b"]);
  });

  it("receive the crashes on record as soon as their link is up, and then each change", async () => {
    const remote = await openServer(KNOWN_CRASHES);
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.notices.length === 1);
    remote.notifyAll(makeNotice({ crashes: { ends: [], served: [DIGEST] } }));
    await waitFor(() => local.notices.length === 2);
    expect(local.notices.map(({ crashes }) => crashes)).toEqual([
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

/** Opens a proxy. After `stopAll`, its open connections stay open without passing any bytes on, while new ones work. */
const openProxy = async (port: number) => {
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
  cleanups.push(() => {
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

describe("a link whose connection stays silent", () => {
  it("is opened anew, and sends all runs again", async () => {
    const remote = await openServer();
    const proxy = await openProxy(remote.peer.address.port);
    const local = openReporter();
    const address = { host: "127.0.0.1", port: proxy.port };
    local.links.setPeers([{ ...remote.peer, address }]);
    local.registry.addRun(server, makeRun("before"));
    await waitFor(() => remote.registry.listPeerRuns(server).length === 1);
    proxy.stopAll();
    local.registry.addRun(server, makeRun("unsent"));
    const cancellation = new AbortController();
    const question = { kind: "whole", table: "t", atLeast: INITIAL_REVISION } as const;
    const unanswered = local.links.ask(remote.peer.box, question, cancellation.signal);
    cancellation.abort();
    expect((await unanswered).val).toMatchObject({ kind: "failed" });
    local.links.reopen(remote.peer.box);
    await waitFor(() => remote.registry.listPeerRuns(server).length === 2);
    const { signal } = new AbortController();
    expect((await local.links.ask(remote.peer.box, question, signal)).val).toEqual({
      kind: "not_known",
    });
  });
});

/** Guards against boxes of one process that share a connection, its limits and its end, as those of tests do. */
describe("boxes that run in one process", () => {
  it("have a connection each, and a new one if they open their links anew", async () => {
    const remote = await openServer();
    const locals = [openReporter(), openReporter()];
    for (const { links } of locals) links.setPeers([remote.peer]);
    const hasLinks = () =>
      locals.every(({ links }) => links.listConnected().length === 1);
    await waitFor(hasLinks);
    expect(remote.countConnections()).toBe(2);
    const [, other] = locals;
    let lost = 0;
    other!.links.carriers.call(
      remote.peer.box,
      {
        server,
        isNewWork: true,
        method: "GET",
        target: "/held",
        headers: [],
        body: Buffer.of(),
      },
      { onFrame: () => undefined, onEnd: () => (lost += 1) },
    );
    await waitFor(() => remote.carried.length === 1);
    other!.links.reopen(remote.peer.box);
    await waitFor(hasLinks);
    expect([remote.countConnections(), lost]).toEqual([3, 0]);
  });
});

describe("boxes known by address only", () => {
  it("stay linked until the list of boxes names others", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setSeeds([remote.peer.address]);
    await waitFor(() => local.links.listConnected().length === 1);
    local.links.setPeers([]);
    expect(local.links.count()).toBe(1);
    local.links.setPeers([remote.peer]);
    await waitFor(() =>
      local.links.listConnected().some(({ box }) => box === remote.peer.box),
    );
    expect(local.links.count()).toBe(1);
  });
});

describe("boxes that divide the polling of engines among them", () => {
  it("send an engine's report to all others, also without a change of runs", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    local.reporter.recordReport({ server, report: REPORT });
    await waitFor(() => remote.reports.length === 1);
    expect(remote.reports).toEqual([{ server, report: REPORT }]);
  });

  it("poll each engine from two boxes, from one box that is alone, and from another box when a watcher is lost", () => {
    const boxes = ["a", "b", "c", "d", "e"].map((name) => name as BoxName);
    const engines = Array.from({ length: 30 }, (_, i) => `engine-${i}` as ServerId);
    const listWatchers = (members: readonly BoxName[], engine: ServerId) =>
      members.filter((own) => {
        return createWatchShares(own, { listHubs: () => members }).isWatcher(engine);
      });
    for (const engine of engines) {
      const watchers = listWatchers(boxes, engine);
      expect(watchers).toHaveLength(2);
      const remaining = boxes.filter((name) => name !== watchers[0]);
      expect(listWatchers(remaining, engine)).toContain(watchers[1]);
      expect(listWatchers(remaining, engine)).toHaveLength(2);
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
  const acceptCall = () => undefined;
  const EMPTY_SINK = {
    onWhole: acceptCall,
    onChanges: acceptCall,
    onFailure: acceptCall,
    onRegained: acceptCall,
  };
  const { signal } = new AbortController();

  it("answers whole tables and changes with their age, and not_known or history_gone otherwise", async () => {
    const remote = await openServer();
    const local = openReporter();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.listConnected().length === 1);
    const ask = (question: TableQuestion) =>
      local.links.ask(remote.peer.box, question, signal);
    const whole = { kind: "whole", table: "t", atLeast: INITIAL_REVISION } as const;
    expect((await ask(whole)).val).toEqual({ kind: "not_known" });
    const clock = createSystemClock();
    const mirror = createTableMirror(clock);
    remote.mirrors.set("t", mirror);
    expect((await ask(whole)).val).toEqual({ kind: "not_known" });
    const sink = mirror.observe(EMPTY_SINK);
    remote.pulse.observe(EMPTY_SINK).onWhole([], clock.monotonic(), toRevision(1));
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
    const changesAnswer = ask({
      kind: "changes",
      table: "t",
      since: toRevision(7),
      wait: 60_000 as Ms,
    });
    sink.onChanges([{ kind: "gone", key: "k" }], clock.monotonic(), toRevision(9));
    expect((await changesAnswer).val).toMatchObject({
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

  it("computes the silence of the store from the pulse table only", async () => {
    const clock = createVirtualClock();
    clock.advance(10_000 as Ms);
    const pulse = createTableMirror(clock);
    const other = createTableMirror(clock);
    pulse.observe(EMPTY_SINK).onWhole([], 7_000 as Ms, toRevision(1));
    other.observe(EMPTY_SINK).onWhole([], 9_900 as Ms, toRevision(1));
    const sources = {
      mirrors: new Map([
        ["pulse", pulse],
        ["other", other],
      ]),
      pulse,
      maxSilence: MAX_SILENCE,
      catchUpWait: 0 as Ms,
    };
    const whole = await answerTable(sources, {
      kind: "whole",
      table: "other",
      atLeast: INITIAL_REVISION,
    });
    expect(whole).toMatchObject({ age: 100, silence: 3_000 });
    const question = { kind: "changes", table: "other", since: toRevision(1) } as const;
    const changesAnswer = await answerTable(sources, { ...question, wait: 60_000 as Ms });
    expect(changesAnswer).toMatchObject({ changes: [], age: 100, silence: 3_000 });
  });

  it("returns no_link without a link, and failed for a cancelled call", async () => {
    const local = openReporter();
    const question = { kind: "whole", table: "t", atLeast: INITIAL_REVISION } as const;
    const unlinkedBox = "nobody" as BoxName;
    expect((await local.links.ask(unlinkedBox, question, signal)).val).toEqual({
      kind: "no_link",
    });
    const remote = await openServer();
    local.links.setPeers([remote.peer]);
    await waitFor(() => local.links.listConnected().length === 1);
    const mirror = createTableMirror(createSystemClock());
    remote.mirrors.set("t", mirror);
    const now = createSystemClock().monotonic();
    mirror.observe(EMPTY_SINK).onWhole([], now, toRevision(1));
    remote.pulse.observe(EMPTY_SINK).onWhole([], now, toRevision(1));
    const call = new AbortController();
    const waiting = local.links.ask(
      remote.peer.box,
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

  it("decodes every encoded answer unchanged (property)", () => {
    fc.assert(
      fc.property(ANSWER, (answer) => {
        expect(decodeAnswer(encodeAnswer(answer))).toEqual(answer);
      }),
      { seed: 3, numRuns: 300 },
    );
  });

  it("encodes a configuration of many routes in less than a tenth of its bytes, the same for each box", () => {
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

  it("takes a value that is not compressed, or too large after decompression, for none", () => {
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
    for (const zipped of ["AAAA", tooLarge])
      expect(decodeAnswer(toAnswer(zipped))).toMatchObject({
        rows: [{ key: "k", value: Buffer.of() }],
      });
  });

  it.each([
    "",
    "[]",
    '{"kind":"all"}',
    '{"kind":"changes","table":"t","since":-1,"wait":0}',
  ])("rejects the question %j", (text) => {
    expect(() => decodeQuestion(Buffer.from(text))).toThrow();
  });

  it.each([
    "{",
    '{"kind":"whole","rows":[],"revision":1}',
    '{"kind":"whole","rows":[{}]}',
  ])("rejects the answer %j", (text) => {
    expect(() => decodeAnswer(Buffer.from(text))).toThrow();
  });
});

describe("updateCodec", () => {
  it("decodes an encoded notice unchanged", () => {
    const row = { key: "k", value: Buffer.alloc(5_000, 7), revision: toRevision(4) };
    const notice: HubNotice = {
      leaving: [{ server, evidence: "own_word" }],
      crashes: KNOWN_CRASHES,
      limits: KNOWN_LIMITS,
      unsettled: [{ table: "t", era: 2, kept: [row], withheld: [row] }],
    };
    expect(decodeNotice(encodeNotice(notice))).toEqual(notice);
    expect(decodeNotice(Buffer.from("{}")).unsettled).toEqual([]);
  });

  it("decodes an encoded update unchanged", () => {
    const update: RunUpdate = {
      box: "a" as BoxName,
      isWhole: true,
      put: [{ server, run: makeRun("r") }],
      drop: [{ server, id: "q" }],
      leaving: [{ server, evidence: "entry_gone" as const }],
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

  it.each(["", "{", "[]", '{"box":"a"}'])("rejects the update %j", (text) => {
    expect(() => decodeUpdate(Buffer.from(text))).toThrow();
  });

  it.each([
    '{"box":"a","whole":true,"put":[],"drop":[],"crashes":{"ends":[],"served":["x"]}}',
    '{"box":"a","whole":true,"put":[],"drop":[],"limits":{"named":[],"lifted":[{"server":"s","age":-1}]}}',
    '{"box":"a","whole":true,"put":[],"drop":[],"limits":{"named":[{"server":"s","perSecond":0,"knownFor":1,"age":1}],"lifted":[]}}',
  ])("leaves out the invalid part of the update %j, and reports it", (text) => {
    const fields: string[] = [];
    expect(decodeUpdate(Buffer.from(text), (field) => fields.push(field))).toMatchObject({
      box: "a",
      crashes: { ends: [], served: [] },
      limits: { named: [], lifted: [] },
    });
    expect(fields).toHaveLength(1);
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

  it("writes its row, reports the boxes in the table, and reports the key of an unreadable row", async () => {
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

  it("spreads the writes of many boxes over time when the store has lost all rows", async () => {
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
      // The restore rules drop the own row only.
      const others = rows.filter((row) => row.key !== key);
      sink.onWhole(others, 0 as Ms, makeRevision(2, 1));
    }
    await advanceSettled(clock, 1_000 as Ms);
    expect(writtenAt.length).toBeLessThan(150);
    const firstWrites = new Set(writtenAt);
    expect(firstWrites.size).toBeGreaterThan(50);
  });
});
