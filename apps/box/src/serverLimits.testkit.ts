/** Boxes before servers that name a limit: what the tests of such servers share. */
import {
  startLimitedServers,
  startUsersSite,
  type LimitedArrival,
  type LimitedKind,
  type LimitNaming,
} from "@stairgauge/standins";
import { ask, closers, makeGeneration, waitMs, type Answer } from "./box.testkit.js";
import { startFleet } from "./fleet.testkit.js";

/** The users' bounds: from when on a limit binds, after the server first named it, and a box, after it was told. */
export const CONTACT_MS = 3_000;
const TOLD_MS = 500;

/** In any span of this length a server may get one and a half times what its limit allows, and some more. */
const WINDOW_MS = 4_000;
const OVERAGE = 1.5;
const SLACK = 5;

const SERVERS = 4;

/** Works out how many requests a server may get in the window. */
export const computeAllowed = (perSecond: number): number =>
  Math.floor((perSecond * OVERAGE * WINDOW_MS) / 1_000 + SLACK);

/** Status of a request that is refused, not run. A busy machine may also be late with one, which is something else. */
export const REFUSED = 503;

/** What is asked for, and how often. */
export type LimitCase = Readonly<{
  path: string;
  kind: LimitedKind;
  boxes: number;
  /** Requests a second, spread over the boxes. */
  perSecond: number;
}>;

/** A request that was sent, and what became of it. */
export type SentRequest = Readonly<{
  box: number;
  sentAt: number;
  answer: Promise<Answer>;
}>;

/** Which box sent a request stands in its id. */
const formatRequestId = (box: number, sequence: number) => `${box}-${sequence}`;
const findSender = ({ request }: LimitedArrival) => Number(request.split("-")[0]);

/** Gives the statuses of all answers. */
export const collectAnswers = async (
  sent: readonly SentRequest[],
): Promise<ReadonlySet<number>> => {
  const answers = await Promise.all(sent.map(({ answer }) => answer));
  return new Set(answers.map(({ status }) => status));
};

/** When each box was first told a limit, by the server that took these requests. */
const findToldAt = (arrivals: readonly LimitedArrival[]): ReadonlyMap<number, number> => {
  const toldAt = new Map<number, number>();
  for (const arrival of arrivals.filter(({ isTold }) => isTold)) {
    const box = findSender(arrival);
    if (!toldAt.has(box)) toldAt.set(box, arrival.at);
  }
  return toldAt;
};

/**
 * Counts as the users do: the most requests in any window that ends later than the bound after the server first named its limit,
 * from boxes that it had told half a second before that end or earlier.
 */
export const countMostFromTold = (arrivals: readonly LimitedArrival[]): number => {
  const toldAt = findToldAt(arrivals);
  const firstAt = Math.min(...toldAt.values());
  const ends = arrivals.map(({ at }) => at).filter((at) => at >= firstAt + CONTACT_MS);
  const counts = ends.map((end) => {
    const isCounted = (arrival: LimitedArrival) =>
      arrival.at > end - WINDOW_MS &&
      arrival.at <= end &&
      (toldAt.get(findSender(arrival)) ?? Infinity) <= end - TOLD_MS;
    return arrivals.filter(isCounted).length;
  });
  return Math.max(0, ...counts);
};

/** Starts four servers, and as many boxes as asked for, which know each other. */
export const startLimitedSite = async ({ path, kind, boxes, perSecond }: LimitCase) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const servers = await startLimitedServers({
    kind,
    count: SERVERS,
    putEntry: kind === "engine" ? site.putEngine : site.putService,
  });
  closers.push(servers.close);
  site.putConfiguration();
  const store = site.store.address;
  const { fleet, start } = await startFleet({ store, boxes, servers: SERVERS });

  let sequence = 0;
  const send = (): SentRequest => {
    const box = sequence % fleet.length;
    const id = formatRequestId(box, sequence);
    sequence += 1;
    const headers = kind === "engine" ? makeGeneration(300, 4) : {};
    const answer = ask(fleet[box]!.ports, { path: `${path}${id}`, id, headers });
    return { box, sentAt: performance.now(), answer };
  };
  /** Sends requests to the boxes in turn for so long. */
  const sendFor = async (duration: number): Promise<readonly SentRequest[]> => {
    const begunAt = performance.now();
    const sent: SentRequest[] = [];
    while (performance.now() < begunAt + duration) {
      const due = ((performance.now() - begunAt) / 1_000) * perSecond;
      while (sent.length < due) sent.push(send());
      await waitMs(1_000 / perSecond);
    }
    return sent;
  };
  const setNaming = (naming: LimitNaming, ...which: readonly number[]) => {
    for (const server of which) servers.setNaming(server, naming);
  };
  const addBox = async () => {
    const box = await start();
    fleet.push(box);
    return box;
  };
  return { servers, fleet, sendFor, setNaming, addBox };
};
