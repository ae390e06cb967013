/** Boxes before servers that say something of themselves in their answers: what the tests of such servers share. */
import {
  startSignServers,
  startUsersSite,
  type CountedArrival,
  type LeavingArrival,
  type SignArrival,
  type SignServerKind,
  type SignServers,
  type LimitNaming,
  type SayingChoice,
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

/** Status of a request that is refused, not run. A busy machine may also be late with one, which is something else. */
export const REFUSED = 503;

const ENDS: ReadonlySet<unknown> = new Set(["refused", "answered"]);

/** What is asked for, and how often. */
export type SignCase = Readonly<{
  path: string;
  kind: SignServerKind;
  boxes: number;
  /** Requests a second, spread over the boxes. */
  perSecond: number;
  changes?: BoxChanges;
}>;

/** A request that was sent, and what became of it. */
export type SentRequest = Readonly<{
  id: string;
  box: number;
  sentAt: number;
  answer: Promise<Answer>;
}>;

/** Which box sent a request stands in its id. */
const formatRequestId = (box: number, sequence: number) => `${box}-${sequence}`;
const findSender = ({ request }: SignArrival) => Number(request.split("-")[0]);

/** The requests that a server got, with the boxes that sent them. */
export const listCounted = (
  arrivals: readonly SignArrival[],
): readonly (CountedArrival & SignArrival)[] =>
  arrivals.map((arrival) => ({ ...arrival, box: findSender(arrival) }));

/** The same, with the times at which clients sent them. */
export const listWithSending = (
  arrivals: readonly SignArrival[],
  sent: readonly SentRequest[],
): readonly LeavingArrival[] => {
  const sentAt = new Map(sent.map((one) => [one.id, one.sentAt]));
  return listCounted(arrivals).map((arrival) => ({
    ...arrival,
    sentAt: sentAt.get(arrival.request) ?? arrival.at,
  }));
};

/** Why boxes refuse for want of a connection to a server: each has its part of them, which a full machine keeps taken for seconds. */
const NO_CONNECTION_LEFT = "no_server_known";

/** Lines of all boxes about the requests. */
export const listLinesOf = (
  fleet: readonly FleetBox[],
  sent: readonly SentRequest[],
): readonly Line[] => {
  const ids = new Set<unknown>(sent.map(({ id }) => id));
  return fleet.flatMap(({ lines }) => lines).filter(({ request }) => ids.has(request));
};

/** Reasons and statuses by which requests were turned away, by the boxes or by servers; a full machine's doing is left out. */
export const listTurnedAway = (fleet: readonly FleetBox[]): readonly unknown[] =>
  listTurnedAwayIn(fleet.flatMap(({ lines }) => lines));

/** The same, of some lines. */
export const listTurnedAwayIn = (lines: readonly Line[]): readonly unknown[] =>
  lines
    .filter(({ event, status }) => ENDS.has(event) && status === REFUSED)
    .map(({ event, reason }) => (event === "refused" ? reason : REFUSED))
    .filter((reason) => reason !== NO_CONNECTION_LEFT);

/** Servers that the boxes give nothing more to. */
export const listLeaving = (fleet: readonly FleetBox[]): ReadonlySet<unknown> =>
  new Set(
    fleet
      .flatMap(({ lines }) => lines)
      .filter(({ event }) => event === "server_leaving")
      .map(({ server }) => server),
  );

/** Gives the statuses of all answers. */
export const collectAnswers = async (
  sent: readonly SentRequest[],
): Promise<ReadonlySet<number>> => {
  const answers = await Promise.all(sent.map(({ answer }) => answer));
  return new Set(answers.map(({ status }) => status));
};

/** Time through which windows are counted. */
export const COUNTED_MS = 6_000;

/** A site with its servers and boxes, and the hands of a test on them. */
export type SignSite = Readonly<{
  site: UsersSite;
  servers: SignServers;
  fleet: FleetBox[];
  /** Sends requests to the boxes in turn for so long, in ms. */
  sendFor: (duration: number) => Promise<readonly SentRequest[]>;
  /** From now on the servers name this limit. */
  setNaming: (naming: LimitNaming, ...which: readonly number[]) => void;
  /** From now on the servers say this in their answers. */
  setSaying: (choose: SayingChoice, ...which: readonly number[]) => void;
  addBox: () => Promise<FleetBox>;
}>;

/** Starts four servers, and as many boxes as asked for, which know each other. */
export const startSignSite = async ({
  path,
  kind,
  boxes,
  perSecond,
  changes = {},
}: SignCase): Promise<SignSite> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const servers = await startSignServers({
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
  const sendFor: SignSite["sendFor"] = async (duration) => {
    const begunAt = performance.now();
    const sent: SentRequest[] = [];
    while (performance.now() < begunAt + duration) {
      const due = ((performance.now() - begunAt) / 1_000) * perSecond;
      while (sent.length < due) sent.push(send());
      await waitMs(1_000 / perSecond);
    }
    return sent;
  };
  const setNaming: SignSite["setNaming"] = (naming, ...which) => {
    for (const server of which) servers.setNaming(server, naming);
  };
  const setSaying: SignSite["setSaying"] = (choose, ...which) => {
    for (const server of which) servers.setSaying(server, choose);
  };
  const addBox = async () => {
    const box = await start();
    fleet.push(box);
    return box;
  };
  return { site, servers, fleet, sendFor, setNaming, setSaying, addBox };
};
