/** Boxes before servers that name a limit: what the tests of such servers share. */
import {
  startLimitedServers,
  startUsersSite,
  type CountedArrival,
  type LimitedArrival,
  type LimitedKind,
  type LimitNaming,
} from "@stairgauge/standins";
import { ask, closers, makeGeneration, waitMs, type Answer } from "./box.testkit.js";
import { startFleet } from "./fleet.testkit.js";

const SERVERS = 4;

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

/** The requests that a server got, with the boxes that sent them. */
export const listCounted = (
  arrivals: readonly LimitedArrival[],
): readonly CountedArrival[] =>
  arrivals.map((arrival) => ({ ...arrival, box: findSender(arrival) }));

/** Gives the statuses of all answers. */
export const collectAnswers = async (
  sent: readonly SentRequest[],
): Promise<ReadonlySet<number>> => {
  const answers = await Promise.all(sent.map(({ answer }) => answer));
  return new Set(answers.map(({ status }) => status));
};

/** Time through which windows are counted. */
export const COUNTED_MS = 6_000;

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
