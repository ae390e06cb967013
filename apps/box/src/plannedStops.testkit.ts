/**
 * Test helpers: deployed boxes before plain servers whose work a caller states, callers on kept and on new connections, and
 * which of their requests were lost.
 */
import { Agent, createServer, request as openRequest } from "node:http";
import { HEADER } from "@stairgauge/platform";
import {
  listenOnLoopback,
  SITE_HOST,
  SITE_KEY,
  startUsersSite,
  type UsersSite,
} from "@stairgauge/standins";
import { closers, waitMs } from "./box.testkit.js";
import { startDeployedBox, type DeployedBox } from "./deployedBox.testkit.js";

const SERVERS = 3;
/** More than the callers need. */
const SLOTS = 1_000;
const CONNECTIONS = 2_000;

/** Time that each request has; the routes' limit is half as long. */
const DEADLINE_MS = 4_000;
/** How long a caller waits for the end of its request beyond that. */
const PATIENCE_MS = 2_000;
const RETRY_MS = 100;

/** Routes of requests that may and that may not be sent to a second server. */
export type Route = "again" | "once";

/** How a request ended at its caller. */
export type CallerEnd = Readonly<{
  id: string;
  /** 0 without an answer. */
  status: number;
  isWhole: boolean;
  /** Time from the stop's signal to the request and to its end, in ms. */
  sentAt: number;
  endedAt: number;
}>;

/** Boxes, and what their servers have received. */
export type StopSite = Readonly<{
  site: UsersSite;
  boxes: readonly DeployedBox[];
  hasReceived: (id: string) => boolean;
}>;

/** The work in ms that the path of a request states. */
const findWork = (path: string) => Number(/w(\d+)-/.exec(path)?.[1] ?? 0);

const startWorkingServer = async (
  name: string,
  onReceived: (id: string) => void,
): Promise<string> => {
  const server = createServer((incoming, response) => {
    incoming.resume();
    if (incoming.method === "GET") {
      response.writeHead(200, { [HEADER.instance]: name, "Content-Length": "0" });
      response.end();
      return;
    }
    const id = String(incoming.headers[HEADER.requestId.toLowerCase()]);
    onReceived(id);
    setTimeout(
      () => {
        response.writeHead(200, {
          [HEADER.requestId]: id,
          [HEADER.signature]: "s",
          "Content-Length": "2",
        });
        response.end("ok");
      },
      findWork(incoming.url ?? ""),
    );
  });
  const { address, close } = await listenOnLoopback(server);
  closers.push(close);
  return address;
};

/** One request of a caller. */
export type Call = Readonly<{
  route: Route;
  id: string;
  workMs: number;
  /** Connection that is kept; a new one if undefined. */
  kept?: Agent | undefined;
}>;

/** Sends a request; always resolves. */
export const callBox = (
  { ports }: DeployedBox,
  { route, id, workMs, kept }: Call,
  begunAt: number,
) =>
  new Promise<CallerEnd>((resolve) => {
    const sentAt = performance.now() - begunAt;
    const outgoing = openRequest({
      host: "127.0.0.1",
      port: ports.clients,
      path: `/${route}/w${workMs}-${id}`,
      method: "POST",
      agent: kept ?? false,
      headers: {
        [HEADER.host]: SITE_HOST,
        [HEADER.requestId]: id,
        [HEADER.deadline]: String(DEADLINE_MS),
        [HEADER.authorization]: `Token ${SITE_KEY}`,
        "Content-Length": "5",
      },
    });
    const end = (status: number, isWhole: boolean) => {
      clearTimeout(patience);
      resolve({ id, status, isWhole, sentAt, endedAt: performance.now() - begunAt });
    };
    const patience = setTimeout(() => outgoing.destroy(), DEADLINE_MS + PATIENCE_MS);
    outgoing.on("error", () => end(0, false));
    outgoing.on("response", (incoming) => {
      incoming.resume();
      incoming.on("error", () => undefined);
      incoming.on("close", () => end(incoming.statusCode ?? 0, incoming.complete));
    });
    outgoing.end("hello");
  });

/** Opens connections that are kept, one after the other: each has served one request. */
export const openKept = async (box: DeployedBox, name: string, count: number) => {
  const agents: Agent[] = [];
  while (agents.length < count) {
    const kept = new Agent({ keepAlive: true, maxSockets: 1 });
    closers.push(() => kept.destroy());
    const id = `${name}-first-${agents.length}`;
    const first = await callBox(box, { route: "again", id, workMs: 1, kept }, 0);
    if (first.status !== 200)
      throw new Error(`no connection is kept: ${first.status} for ${id}`);
    agents.push(kept);
  }
  return agents;
};

/** Starts the store, the servers and the boxes; resolves once each box serves. */
export const startStopSite = async (
  boxCount: number,
  stopSeconds?: number,
): Promise<StopSite> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const received = new Set<string>();
  for (let i = 0; i < SERVERS; i += 1) {
    const name = `page-${i}`;
    const address = await startWorkingServer(name, (id) => received.add(id));
    site.putServiceOfSlots(name, address, SLOTS);
  }
  site.limitConnections(CONNECTIONS);
  const boxes = await Promise.all(
    Array.from({ length: boxCount }, (_, i) =>
      startDeployedBox({
        name: `box-${i}`,
        store: site.store.address,
        ...(stopSeconds !== undefined && { stopSeconds }),
      }),
    ),
  );
  for (const [i, box] of boxes.entries())
    for (let tries = 0; ; tries += 1) {
      const id = `ready-${i}-${tries}`;
      const { status } = await callBox(box, { route: "again", id, workMs: 1 }, 0);
      if (status === 200) break;
      await waitMs(RETRY_MS);
    }
  return { site, boxes, hasReceived: (id) => received.has(id) };
};

/** Ids of the requests that the box has read, by its log. */
const listRead = (box: DeployedBox): ReadonlySet<unknown> =>
  new Set(
    box
      .listLines()
      .filter((line) => line.startsWith("{"))
      .map((line) => (JSON.parse(line) as { request?: unknown }).request),
  );

/** Describes the requests that a server received, or the box has read, although their callers got no whole answer. */
export const listLost = (
  { hasReceived }: Pick<StopSite, "hasReceived">,
  box: DeployedBox,
  ends: readonly CallerEnd[],
): readonly string[] => {
  const read = listRead(box);
  return ends
    .filter(({ id, isWhole }) => !isWhole && (hasReceived(id) || read.has(id)))
    .map(
      ({ id, sentAt, endedAt }) =>
        `${id}, sent after ${Math.round(sentAt)} ms, cut after ${Math.round(endedAt)} ms`,
    );
};
