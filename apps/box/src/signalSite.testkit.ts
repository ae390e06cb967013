/**
 * Test helpers that start boxes in front of servers which send signals (leaving, limit,
 * backoff) in their answers.
 */
import {
  startSignalServers,
  startUsersSite,
  type CountedArrival,
  type LeavingArrival,
  type SignalArrival,
  type SignalServerKind,
  type SignalServers,
  type LimitChoice,
  type SignalChoice,
  type UsersSite,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  waitMs,
  type Answer,
  type BoxChanges,
  type Line,
} from "./box.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";

const SERVERS = 4;

/**
 * Status of a request that is refused without being run. A late answer on a busy machine has
 * another status.
 */
export const REFUSED = 503;

const ENDS: ReadonlySet<unknown> = new Set(["refused", "answered"]);

/** The requested route, the kind of its servers, and the load. */
export type SignalCase = Readonly<{
  path: string;
  kind: SignalServerKind;
  boxes: number;
  /** Requests per second over all boxes. */
  perSecond: number;
  changes?: BoxChanges;
}>;

/** A request that was sent, and its answer. */
export type SentRequest = Readonly<{
  id: string;
  box: number;
  sentAt: number;
  answer: Promise<Answer>;
}>;

/** The request id contains the index of the box that sends it. */
const formatRequestId = (box: number, sequence: number) => `${box}-${sequence}`;
const findSender = ({ request }: SignalArrival) => Number(request.split("-")[0]);

/** Adds to a server's requests the boxes that sent them. */
export const listCounted = (
  arrivals: readonly SignalArrival[],
): readonly (CountedArrival & SignalArrival)[] =>
  arrivals.map((arrival) => ({ ...arrival, box: findSender(arrival) }));

/**
 * Adds to a server's requests the boxes that sent them and the times at which clients sent
 * them.
 */
export const listWithSending = (
  arrivals: readonly SignalArrival[],
  sent: readonly SentRequest[],
): readonly LeavingArrival[] => {
  const sentAt = new Map(sent.map((one) => [one.id, one.sentAt]));
  return listCounted(arrivals).map((arrival) => ({
    ...arrival,
    sentAt: sentAt.get(arrival.request) ?? arrival.at,
  }));
};

/**
 * Reason for which a box refuses if it has no connection to a server left. Each box has a share
 * of the connections, which a busy machine may keep occupied for seconds.
 */
const NO_CONNECTION_LEFT = "server_connections_used";

/** Lists the log lines of all boxes about the requests. */
export const listLinesOf = (
  fleet: readonly FleetBox[],
  sent: readonly SentRequest[],
): readonly Line[] => {
  const ids = new Set<unknown>(sent.map(({ id }) => id));
  return fleet.flatMap(({ lines }) => lines).filter(({ request }) => ids.has(request));
};

/**
 * Lists the reasons and statuses with which boxes or servers refused requests, without refusals
 * that are due to a busy machine.
 */
export const listTurnedAway = (fleet: readonly FleetBox[]): readonly unknown[] =>
  listTurnedAwayIn(fleet.flatMap(({ lines }) => lines));

/** Lists them from the given lines. */
export const listTurnedAwayIn = (lines: readonly Line[]): readonly unknown[] =>
  lines
    .filter(({ event, status }) => ENDS.has(event) && status === REFUSED)
    .map(({ event, reason }) => (event === "refused" ? reason : REFUSED))
    .filter((reason) => reason !== NO_CONNECTION_LEFT);

/** Lists the servers that the boxes have marked as leaving. */
export const listLeaving = (fleet: readonly FleetBox[]): ReadonlySet<unknown> =>
  new Set(
    fleet
      .flatMap(({ lines }) => lines)
      .filter(({ event }) => event === "server_leaving")
      .map(({ server }) => server),
  );

/** Waits for all answers and returns their statuses. */
export const collectAnswers = async (
  sent: readonly SentRequest[],
): Promise<ReadonlySet<number>> => {
  const answers = await Promise.all(sent.map(({ answer }) => answer));
  return new Set(answers.map(({ status }) => status));
};

/** Time in ms over which requests are counted. */
export const COUNTED_MS = 6_000;

/** A site with its servers and boxes, and functions that control them. */
export type SignalSite = Readonly<{
  site: UsersSite;
  servers: SignalServers;
  fleet: FleetBox[];
  /** Sends requests to the boxes in turn for a duration in ms. */
  sendFor: (duration: number) => Promise<readonly SentRequest[]>;
  /** Makes the servers announce this limit. */
  setLimit: (naming: LimitChoice, ...which: readonly number[]) => void;
  /** Makes the servers send these signals in their answers. */
  setSignal: (choose: SignalChoice, ...which: readonly number[]) => void;
  addBox: () => Promise<FleetBox>;
}>;

/** Starts four servers and the boxes, and waits until the boxes are linked. */
export const startSignalSite = async ({
  path,
  kind,
  boxes,
  perSecond,
  changes = {},
}: SignalCase): Promise<SignalSite> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const servers = await startSignalServers({
    kind,
    count: SERVERS,
    putEntry: kind === "engine" ? site.putEngine : site.putService,
  });
  closers.push(servers.close);
  site.putConfiguration();
  const store = site.store.address;
  const { fleet, start } = await startFleet({
    store,
    boxes,
    servers: SERVERS,
    changes,
  });

  let sequence = 0;
  const send = (): SentRequest => {
    const box = sequence % fleet.length;
    const id = formatRequestId(box, sequence);
    sequence += 1;
    const headers = kind === "engine" ? makeGeneration(300, 4) : {};
    const answer = ask(fleet[box]!.ports, { path: `${path}${id}`, id, headers });
    return { id, box, sentAt: performance.now(), answer };
  };
  const sendFor: SignalSite["sendFor"] = async (duration) => {
    const begunAt = performance.now();
    const sent: SentRequest[] = [];
    while (performance.now() < begunAt + duration) {
      const due = ((performance.now() - begunAt) / 1_000) * perSecond;
      while (sent.length < due) sent.push(send());
      await waitMs(1_000 / perSecond);
    }
    return sent;
  };
  const setLimit: SignalSite["setLimit"] = (naming, ...which) => {
    for (const server of which) servers.setLimit(server, naming);
  };
  const setSignal: SignalSite["setSignal"] = (choose, ...which) => {
    for (const server of which) servers.setSignal(server, choose);
  };
  const addBox = async () => {
    const box = await start();
    fleet.push(box);
    return box;
  };
  return { site, servers, fleet, sendFor, setLimit, setSignal, addBox };
};
