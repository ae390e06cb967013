/** Test helpers that send requests with a part in their prompts that crashes servers, beside sound ones. */
import { HEADER } from "@stairgauge/platform";
import {
  CRASHING_PART,
  startCrashingServers,
  startUsersSite,
} from "@stairgauge/standins";
import { ask, closers, makeGeneration, waitMs, type Answer } from "./box.testkit.js";
import { CONTACT_MS } from "./crashingRequests.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";

/** Servers that may end before the requests are kept from all servers. */
export const ENDS_ALLOWED = 5;

const SERVERS = 12;
const RESTART_MS = 700;
const STREAM_MS = 60;
const BAD_PAUSE_MS = 160;

/** Time for which sound requests alone are counted, and for which arrivals are counted after the contact time. */
const CALM_MS = 2_000;
const COUNTED_MS = 6_000;

/** The load of a test: the position of the part that crashes servers, and the requests. */
export type PartsCase = Readonly<{
  boxes: number;
  path: "/verdict/1" | "/draft/1";
  position: "first" | "second";
  sendsFirstEvent: boolean;
  soundPerSecond: number;
}>;

let nextOwn = 0;

/** Parts of a prompt: two that all requests share, with the crashing one at its position, and an own one at the end. */
const makeParts = (position?: PartsCase["position"]): string => {
  nextOwn += 1;
  const own = `0e${nextOwn}:40`;
  const crashing = `${CRASHING_PART}:30`;
  const [first, second] = ["a11a11:80", "b22b22:90"];
  switch (position) {
    case "first":
      return [crashing, first, second, own].join(",");
    case "second":
      return [first, crashing, second, own].join(",");
    case undefined:
      return [first, second, own].join(",");
  }
};

/** The results of a load. */
export type PartsResult = Readonly<{
  /** Ends of servers until the contact time after the fifth, or until the end if there were fewer. */
  ends: number;
  /** Arrivals after the contact time. */
  lateArrivals: number;
  /** Share of the sound requests that were served before the first crashing one, and after the contact time. */
  servedBefore: number;
  servedAfter: number;
  /** Sends crashing requests to a box and returns how many of them reached servers. */
  countArrivalsAt: (box: Pick<FleetBox, "ports">, sent: number) => Promise<number>;
  start: () => Promise<FleetBox>;
}>;

const computeServed = (answers: readonly Answer[]): number =>
  answers.filter(({ status, isWhole }) => status === 200 && isWhole).length /
  answers.length;

/** Starts servers and boxes, sends the load, and counts. */
export const runPartsLoad = async (load: PartsCase): Promise<PartsResult> => {
  const { boxes, path, position, sendsFirstEvent, soundPerSecond } = load;
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const servers = await startCrashingServers({
    kind: "engine",
    count: SERVERS,
    restartMs: RESTART_MS,
    streamMs: STREAM_MS,
    sendsFirstEvent,
    putEntry: (id, address, born) => site.putEngine(id, address, "ready", born),
  });
  closers.push(servers.close);
  site.putConfiguration();
  const store = site.store.address;
  const { fleet, start } = await startFleet({ store, boxes, servers: SERVERS });

  const send = (box: Pick<FleetBox, "ports">, bad?: PartsCase["position"]) =>
    ask(box.ports, {
      path,
      body: `prompt ${nextOwn}`,
      headers: { ...makeGeneration(300, 4), [HEADER.promptParts]: makeParts(bad) },
    });
  let turn = 0;
  const pickBox = () => fleet[(turn += 1) % boxes]!;
  /** Sends requests at an even rate for a time; resolves with their answers. */
  const sendFor = async (
    duration: number,
    pause: number,
    bad?: PartsCase["position"],
  ) => {
    const answers: Promise<Answer>[] = [];
    const until = performance.now() + duration;
    for (let at = performance.now(); at < until; at += pause) {
      const wait = at - performance.now();
      if (wait > 0) await waitMs(wait);
      answers.push(send(pickBox(), bad));
    }
    return Promise.all(answers);
  };
  const soundPause = 1_000 / soundPerSecond;

  const before = await sendFor(CALM_MS, soundPause);
  // Both go on until the fifth end, or as long as that would take if each request ended a server.
  let fifthEndAt: number | undefined;
  const startedAt = performance.now();
  const isOver = () => performance.now() - (fifthEndAt ?? startedAt) > CONTACT_MS;
  while (!isOver()) {
    await Promise.all([
      sendFor(BAD_PAUSE_MS, soundPause),
      sendFor(BAD_PAUSE_MS, BAD_PAUSE_MS, position),
    ]);
    if (servers.countCrashes() >= ENDS_ALLOWED) fifthEndAt ??= performance.now();
  }
  const ends = servers.countCrashes();
  const arrivals = servers.countArrivals();
  const [after] = await Promise.all([
    sendFor(COUNTED_MS, soundPause),
    sendFor(COUNTED_MS, BAD_PAUSE_MS, position),
  ]);
  return {
    ends,
    lateArrivals: servers.countArrivals() - arrivals,
    servedBefore: computeServed(before),
    servedAfter: computeServed(after),
    start,
    countArrivalsAt: async (box, sent) => {
      const already = servers.countArrivals();
      await Promise.all(Array.from({ length: sent }, () => send(box, position)));
      return servers.countArrivals() - already;
    },
  };
};
