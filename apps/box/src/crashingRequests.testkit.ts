/** Boxes before servers that some requests end: what the tests of such requests share. */
import {
  CRASHING_BODY,
  startCrashingServers,
  startUsersSite,
  type CrashingKind,
} from "@stairgauge/standins";
import { ask, closers, makeGeneration, waitMs, type Ask } from "./box.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";

/** The users' bound: boxes that have been in touch for so long know of the third end. */
export const CONTACT_MS = 3_000;

/** Ends of servers under one request by which it is known. */
export const ENDS_ALLOWED = 3;

/** What may still reach servers once the bound has passed. */
export const ARRIVALS_ALLOWED = 3;

/** Three ends, and those of tries that were at servers when the third was heard of: the time from 30 ms to the end, at 100 ms a try. */
export const MAX_ENDS = 6;

/** Time between two tries, each at another box, and tries that are counted. */
const TRY_PAUSE_MS = 100;
export const COUNTED_TRIES = 20;

const SERVERS = 10;

/** What is asked for: a route of the site, and its kind of server. */
export type CrashCase = Readonly<{ path: string; kind: CrashingKind; boxes: number }>;

/** Starts servers, and as many boxes as asked for, which know each other. */
export const startCrashSite = async ({ path, kind, boxes }: CrashCase) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const servers = await startCrashingServers({
    kind,
    count: SERVERS,
    putEntry: (id, address, born) =>
      kind === "engine"
        ? site.putEngine(id, address, "ready", born)
        : site.putService(id, address, born),
  });
  closers.push(servers.close);
  site.putConfiguration();
  const store = site.store.address;
  const { fleet, start } = await startFleet({ store, boxes, servers: SERVERS });

  const makeAsk = (body: string): Ask => ({
    path,
    body,
    ...(kind === "engine" && { headers: makeGeneration(300, 4) }),
  });
  const sendSound = (box: FleetBox, name: number) =>
    ask(box.ports, makeAsk(`sound ${name}`));
  /** Sends the request that ends servers, and a sound one beside it; waits for neither. */
  const sendBoth = (box: FleetBox, name: number) => ({
    crashing: ask(box.ports, makeAsk(CRASHING_BODY)),
    sound: sendSound(box, name),
  });
  let tries = 0;
  /** Sends tries to the boxes in turn until enough have been sent. */
  const sendTries = async (
    to: readonly FleetBox[],
    isEnough: (sent: number) => boolean,
  ) => {
    const sent: ReturnType<typeof sendBoth>[] = [];
    while (!isEnough(sent.length)) {
      sent.push(sendBoth(to[tries % to.length]!, tries));
      tries += 1;
      await waitMs(TRY_PAUSE_MS);
    }
    return sent;
  };
  /** Tries until three servers have ended, and through the time in which boxes may come to know it. */
  const sendUntilKnown = async () => {
    await sendTries(fleet, () => servers.countEnds() >= ENDS_ALLOWED);
    await sendTries(fleet, (sent) => sent >= CONTACT_MS / TRY_PAUSE_MS);
  };
  /** Counts what still reaches servers. */
  const countTries = async (to: readonly FleetBox[]) => {
    const before = servers.countArrivals();
    const sent = await sendTries(to, (count) => count >= COUNTED_TRIES);
    const sound = await Promise.all(sent.map((one) => one.sound));
    const crashing = await Promise.all(sent.map((one) => one.crashing));
    return {
      arrivals: servers.countArrivals() - before,
      served: sound.filter(({ status, isWhole }) => status === 200 && isWhole).length,
      crashing,
    };
  };
  return { servers, fleet, start, sendSound, sendUntilKnown, countTries };
};
