/**
 * Test helpers for scarce or uneven capacity: real boxes in front of plain servers with slots and
 * a queue, under an open-loop load.
 *
 * Boxes, servers and load share one clock that advances by at most `MAX_STEP_MS` per turn of the
 * event loop. A busy machine makes it slower than real time for all of them alike, so the shares
 * that a test counts don't depend on the machine.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import {
  listenOn,
  createSeededRandom,
  createVirtualClock,
  type Clock,
  type Dialer,
  type Ms,
} from "@stairgauge/common";
import { HEADER, TABLE } from "@stairgauge/platform";
import { startUsersSite, type UsersSite } from "@stairgauge/standins";
import { ask, closers, waitMs, type BoxChanges } from "./box.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";

/** Requests are counted from this time on: until then boxes learn of the load. */
export const COUNTED_FROM_MS = 4_000;

/**
 * Time that passes at most in one turn of the event loop. A request takes some ten turns from
 * client to server and back, so that a busy machine adds up to 20 ms to it.
 */
const MAX_STEP_MS = 2;

const MS_PER_S = 1_000;

/** A plain server: requests that it runs at once, and those that wait there for a slot. */
export type ServerSpec = Readonly<{
  slots: number;
  queue: number;
  serviceMs: number;
  /** Set if the server states from its start that it is brittle. */
  brittle?: BrittleSpec;
}>;

/** From a time on a brittle server lets fewer requests wait, and falls over when it rejects too many. */
export type BrittleSpec = Readonly<{
  /** Rejections in one second above which it falls over, as it states in its answers. */
  maxRejected: number;
  queue: number;
  fromMs: number;
  /** How long it is gone after a fall. */
  goneMs: number;
}>;

/** Requests of one workspace, whose tier is 0 for the most urgent. */
export type LoadSource = Readonly<{
  workspace: string;
  tier: number;
  perSecond: number;
  /** When its requests begin; with the load by default. */
  fromMs?: number;
}>;

/** A request as a server received it. */
export type ServerArrival = Readonly<{
  request: string;
  at: number;
  isRejected: boolean;
}>;

/** A request that was sent to a box, and its final status. */
export type LoadRequest = Readonly<{
  id: string;
  workspace: string;
  sentAt: number;
  status: number;
}>;

/** An event while the load lasts, `atMs` after its beginning. */
export type LoadEvent = Readonly<{ atMs: number; run: () => unknown }>;

export type Load = Readonly<{
  servers: readonly ServerSpec[];
  sources: readonly LoadSource[];
  boxes: number;
  /** Prepares the site before boxes start. */
  prepare?: (site: UsersSite) => unknown;
  /** Returns what opens the connections of box 1 to the servers at these addresses. */
  getFirstDialer?: (addresses: readonly string[]) => Promise<Dialer>;
  /** Returns the clock of a box, by its number from 1; the shared clock by default. */
  getClock?: (box: number, clock: Clock) => Clock;
}>;

/** Path of health checks in the site's configuration. */
const HEALTH_PATH = "/healthz";

/**
 * Box 1 has the highest capacity, so it is the first in the order of hubs. It takes long enough to
 * stop for its open requests to end.
 */
const FIRST_HUB: BoxChanges = { more: "limits: { cores: 8 }", stopSeconds: 1 };

/** Starts the clock that boxes, servers and load share. */
const startLoadClock = () => {
  const clock = createVirtualClock(Date.now() as Ms);
  let last = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    clock.advance(Math.min(now - last, MAX_STEP_MS) as Ms);
    last = now;
  }, 1);
  closers.push(() => clearInterval(timer));
  return clock;
};

const startServer = async (clock: Clock, id: string, spec: ServerSpec) => {
  const arrivals: ServerArrival[] = [];
  const falls: Ms[] = [];
  const open = new Set<ServerResponse>();
  const { brittle } = spec;
  const startedAt = clock.monotonic();
  let waiting: (() => void)[] = [];
  let running = 0;
  let life = 0;
  let isGone = false;
  const send = (response: ServerResponse, status: number, headers: object) => {
    open.delete(response);
    response.writeHead(status, {
      "Content-Length": "0",
      ...(brittle && { [HEADER.serverBrittle]: String(brittle.maxRejected) }),
      ...headers,
    });
    response.end();
  };
  const countQueue = () =>
    brittle && clock.monotonic() - startedAt >= brittle.fromMs
      ? brittle.queue
      : spec.queue;
  const failServer = (goneMs: number) => {
    falls.push(clock.monotonic());
    isGone = true;
    life += 1;
    running = 0;
    waiting = [];
    for (const response of open) response.socket?.resetAndDestroy();
    open.clear();
    clock.setTimer(goneMs as Ms, () => {
      isGone = false;
    });
  };
  const failIfBrittle = () => {
    const since = clock.monotonic() - MS_PER_S;
    const rejected = arrivals.filter((one) => one.isRejected && one.at > since).length;
    if (brittle && rejected > brittle.maxRejected) failServer(brittle.goneMs);
  };
  const runNext = () => {
    if (running < spec.slots) waiting.shift()?.();
  };
  const serve = (request: string, response: ServerResponse) => {
    const ownLife = life;
    running += 1;
    clock.setTimer(spec.serviceMs as Ms, () => {
      if (ownLife !== life) return;
      running -= 1;
      send(response, 200, { [HEADER.requestId]: request, [HEADER.signature]: "s" });
      runNext();
    });
  };
  const receive = (request: string, response: ServerResponse) => {
    const isRejected = running + waiting.length >= spec.slots + countQueue();
    arrivals.push({ request, at: clock.monotonic(), isRejected });
    if (isRejected) {
      send(response, 503, { [HEADER.requestId]: request, [HEADER.notRun]: "1" });
      failIfBrittle();
      return;
    }
    open.add(response);
    waiting.push(() => serve(request, response));
    runNext();
  };
  const handle = (incoming: IncomingMessage, response: ServerResponse) => {
    incoming.resume();
    if (isGone) {
      incoming.socket.resetAndDestroy();
      return;
    }
    if (incoming.url === HEALTH_PATH) send(response, 200, { [HEADER.instance]: id });
    else receive(String(incoming.headers[HEADER.requestId.toLowerCase()]), response);
  };
  const server = createServer(handle);
  const port = await listenOn(server, { host: "127.0.0.1", port: 0 });
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return { address: `127.0.0.1:${port}`, arrivals, falls };
};

/** What was sent from `COUNTED_FROM_MS` on, and what of it arrived at each server. */
export type LoadResult = Readonly<{
  requests: readonly LoadRequest[];
  arrivals: readonly (readonly ServerArrival[])[];
  /** Times at which brittle servers fell over. */
  falls: readonly number[];
}>;

export type LoadSite = Readonly<{
  site: UsersSite;
  fleet: readonly FleetBox[];
  /** Sends the load for a time in ms. */
  run: (duration: number, events?: readonly LoadEvent[]) => Promise<LoadResult>;
  /** Sets the boxes that get the clients' requests from now on; at first all. */
  setReceivers: (boxes: readonly FleetBox[]) => void;
}>;

/** Starts the servers and the boxes. */
export const startLoadSite = async (load: Load): Promise<LoadSite> => {
  const { servers, sources, boxes, prepare, getFirstDialer, getClock } = load;
  const clock = startLoadClock();
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const started = await Promise.all(
    servers.map((spec, i) => startServer(clock, `plain-${i}`, spec)),
  );
  started.forEach(({ address }, i) => {
    site.putService(`plain-${i}`, address);
    site.store.change(TABLE.servers, `plain-${i}`, { slots: servers[i]!.slots });
  });
  site.putWorkspaces(
    Object.fromEntries(sources.map(({ workspace, tier }) => [workspace, tier])),
  );
  await prepare?.(site);
  const dialServer = await getFirstDialer?.(started.map(({ address }) => address));
  const { fleet } = await startFleet({
    store: site.store.address,
    boxes,
    servers: servers.length,
    getClock: (box) => getClock?.(box, clock) ?? clock,
    firstChanges: { ...FIRST_HUB, ...(dialServer && { dialServer }) },
  });
  const random = createSeededRandom(1);
  let receivers: readonly FleetBox[] = fleet;
  let sequence = 0;

  const send = async (workspace: string): Promise<LoadRequest> => {
    const id = `load-${(sequence += 1)}`;
    const box = receivers[random.nextInt(0, receivers.length - 1)]!;
    const sentAt = clock.monotonic();
    const headers = { Authorization: `Token ${workspace}` };
    const { status } = await ask(box.ports, { path: `/once/${id}`, id, headers });
    return { id, workspace, sentAt, status };
  };
  /** Sends at random times, at the mean rate of the source. */
  const sendFrom = ({ workspace, perSecond, fromMs = 0 }: LoadSource, endsAt: number) => {
    const sent: Promise<LoadRequest>[] = [];
    const scheduleNext = () => {
      const gap = (-Math.log(1 - random.nextFloat()) * MS_PER_S) / perSecond;
      clock.setTimer(gap as Ms, () => {
        if (clock.monotonic() >= endsAt) return;
        sent.push(send(workspace));
        scheduleNext();
      });
    };
    clock.setTimer(fromMs as Ms, scheduleNext);
    return sent;
  };

  const run: LoadSite["run"] = async (duration, events = []) => {
    const begunAt = clock.monotonic();
    const endsAt = begunAt + duration;
    const countedFrom = begunAt + COUNTED_FROM_MS;
    for (const event of events) clock.setTimer(event.atMs as Ms, () => void event.run());
    const sentLists = sources.map((source) => sendFrom(source, endsAt));
    while (clock.monotonic() < endsAt) await waitMs(20);
    // Sources may begin later, so the lists are complete only now.
    const all = await Promise.all(sentLists.flat());
    const requests = all.filter(({ sentAt }) => sentAt >= countedFrom);
    const ids = new Set(requests.map(({ id }) => id));
    const arrivals = started.map((server) =>
      server.arrivals.filter(({ request }) => ids.has(request)),
    );
    return { requests, arrivals, falls: started.flatMap(({ falls }) => falls) };
  };
  return {
    site,
    fleet,
    run,
    setReceivers: (boxes) => {
      receivers = boxes;
    },
  };
};

/** Requests that were served, as a share of what the servers could serve in the time counted. */
export const computeUsedShare = (
  { requests }: LoadResult,
  servers: readonly ServerSpec[],
  countedMs: number,
): number => {
  const perMs = servers.reduce((sum, { slots, serviceMs }) => sum + slots / serviceMs, 0);
  const served = requests.filter(({ status }) => status === 200).length;
  return served / (perMs * countedMs);
};
